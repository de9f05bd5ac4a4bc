/** Files and batch jobs: the callers' interface, ownership of jobs and the execution of items. */
package dev.lavenderline.node.jobs;
