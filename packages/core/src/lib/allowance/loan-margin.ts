/**
 * The margin between the end of a loan at its borrower and at its lender.
 */

/**
 * Time beyond a loan's term after which its lender takes it back, in
 * milliseconds. It covers a dispatch that was decided at the end of the term
 * and sent within its `notAfter`, and the drift of clocks over a term.
 */
export const loanMarginMs = 600;
