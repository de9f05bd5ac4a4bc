/** State built from the log streams {@code work} and {@code calls}. */
package dev.lavenderline.core.ledger;
