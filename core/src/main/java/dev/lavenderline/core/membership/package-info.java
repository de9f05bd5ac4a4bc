/** Liveness of nodes and rendezvous order. */
package dev.lavenderline.core.membership;
