/** Open-loop load and the experiments of docs/bench.md. */
package dev.lavenderline.bench.load;
