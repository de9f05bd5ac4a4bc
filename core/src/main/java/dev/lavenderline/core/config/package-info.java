/** Configuration schema, merge, validation and the fold of configuration records. */
package dev.lavenderline.core.config;
