package dev.lavenderline.core.admission;

import dev.lavenderline.proto.peer.SlotGrant;

/**
 * A grant and the node that it is for.
 *
 * @param node name of the job owner
 * @param grant grant to send to it
 */
public record AddressedGrant(String node, SlotGrant grant) {}
