/** Files and batch jobs: the API for callers, ownership of jobs and the execution of items. */
package dev.lavenderline.node.jobs;
