/** The configuration: its schema, merging, validation, differences and the ledger of its changes. */
package dev.lavenderline.core.config;
