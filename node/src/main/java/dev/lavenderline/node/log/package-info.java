/** Streams of the log: ledger, follower and writer of each. */
package dev.lavenderline.node.log;
