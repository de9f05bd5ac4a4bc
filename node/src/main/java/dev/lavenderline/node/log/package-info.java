/** Streams of the log as a node uses them. */
package dev.lavenderline.node.log;
