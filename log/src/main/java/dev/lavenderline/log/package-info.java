/** Interfaces of the platform services with their HTTP clients, and the log writer and follower built on them. */
package dev.lavenderline.log;
