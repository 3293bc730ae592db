/**
 * Linear regression by least squares.
 */

export type Point = readonly [x: number, y: number];

export type LinearFit = {
	readonly slope: number;
	readonly intercept: number;
	/** Coefficient of determination: fraction of the variance that the line explains, from 0 to 1. */
	readonly rSquared: number;
};

/** Computes the line that minimizes the sum of squared residuals of `y`. */
export function computeLinearFit(points: readonly Point[]): LinearFit {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const sumSquaresX = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const sumSquaresY = points.reduce((sum, [, y]) => sum + ((y - meanY) ** 2), 0);
	const sumProducts = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const slope = sumProducts / sumSquaresX;
	return {slope, intercept: meanY - (slope * meanX), rSquared: sumSquaresY === 0 ? 1 : (sumProducts ** 2) / (sumSquaresX * sumSquaresY)};
}
