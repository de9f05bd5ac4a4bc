/** At-most-once permission for keyed calls of non-repeatable routes. */
package dev.lavenderline.node.calls;
