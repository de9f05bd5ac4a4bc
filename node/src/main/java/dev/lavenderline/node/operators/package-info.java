/** HTTP server for operators: state dump, metrics, health. */
package dev.lavenderline.node.operators;
