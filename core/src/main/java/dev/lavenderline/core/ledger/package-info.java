/** Folds of the work and calls streams. */
package dev.lavenderline.core.ledger;
