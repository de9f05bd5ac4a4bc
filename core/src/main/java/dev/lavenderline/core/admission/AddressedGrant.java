package dev.lavenderline.core.admission;

import dev.lavenderline.proto.peer.SlotGrant;

/**
 * A slot grant and the node to send it to.
 *
 * @param node name of the job owner
 * @param grant grant to send
 */
public record AddressedGrant(String node, SlotGrant grant) {}
