/** Runs serving nodes as processes beside stand-ins under load and faults, and judges what callers and engines saw. */
package dev.lavenderline.standins.soak;
