/** What a node knows of the other nodes, and the exchange of loads and batch slots with them. */
package dev.lavenderline.node.cluster;
