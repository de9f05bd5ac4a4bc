/** Reads the records on the log after a test and checks them against what callers read. */
package dev.lavenderline.bench.history;
