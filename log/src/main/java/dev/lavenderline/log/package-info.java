/** Services of the platform behind narrow interfaces, and the log writer and follower built on them. */
package dev.lavenderline.log;
