/** Cluster membership, failure detection and rendezvous hashing. */
package dev.lavenderline.core.membership;
