/**
 * The margin between the end of a loan at its borrower and at its lender.
 */

/**
 * Time beyond a loan's term after which the lender uses the share again, in
 * milliseconds. It covers a dispatch that was decided at the end of the term
 * and sent within its `notAfter`, and clock drift over the term.
 */
export const loanMarginMs = 600;
