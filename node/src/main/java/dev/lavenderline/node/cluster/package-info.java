/** Cluster membership, and the exchange of loads, batch slots and configuration records with other nodes. */
package dev.lavenderline.node.cluster;
