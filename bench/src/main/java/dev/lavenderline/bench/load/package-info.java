/** Open-loop load generation and the experiments that docs/bench.md describes. */
package dev.lavenderline.bench.load;
