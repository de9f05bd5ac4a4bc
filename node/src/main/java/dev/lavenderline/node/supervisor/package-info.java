/** The supervisor tree of a node. */
package dev.lavenderline.node.supervisor;
