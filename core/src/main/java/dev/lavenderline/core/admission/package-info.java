/** Batch slots of engines and the order of batch items. */
package dev.lavenderline.core.admission;
