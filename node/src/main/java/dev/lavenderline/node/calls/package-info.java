/** At-most-once execution of calls with idempotency keys on non-repeatable routes. */
package dev.lavenderline.node.calls;
