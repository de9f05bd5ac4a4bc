/** Bounds what all callers together make a process hold: one account, one policy, one guard for each connection. */
package dev.lavenderline.core.overload;
