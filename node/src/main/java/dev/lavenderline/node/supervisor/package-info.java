/** Starts, stops and restarts the components of a node. */
package dev.lavenderline.node.supervisor;
