/** Measures how costs grow with the size of the system; docs/CAPACITY.md quotes the printed lines. */
package dev.lavenderline.bench.slopes;
