package dev.lavenderline.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.proto.peer.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Decodes frames prefixed with their length as a varint; rejects frames over the limit before they are buffered. */
final class FrameDecoder extends ByteToMessageDecoder {
    // 3 varint bytes of 7 bits each hold every length up to the 1 MiB limit.
    private static final int MAX_LENGTH_PREFIX_BYTES = 3;

    private final PeerMetrics metrics;

    FrameDecoder(PeerMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws InvalidProtocolBufferException {
        int start = in.readerIndex();
        int length = 0;
        int prefixBytes = 0;
        while (true) {
            if (!in.isReadable()) {
                in.readerIndex(start);
                return;
            }
            byte next = in.readByte();
            length |= (next & 0x7f) << (7 * prefixBytes);
            prefixBytes++;
            if (next >= 0) {
                break;
            }
            if (prefixBytes == MAX_LENGTH_PREFIX_BYTES) {
                throw new TooLongFrameException(
                        "length prefix of a frame is longer than " + MAX_LENGTH_PREFIX_BYTES + " bytes");
            }
        }
        if (length > PeerMesh.MAX_FRAME_BYTES) {
            throw new TooLongFrameException(
                    "frame of " + length + " bytes exceeds the limit of " + PeerMesh.MAX_FRAME_BYTES + " bytes");
        }
        if (in.readableBytes() < length) {
            in.readerIndex(start);
            return;
        }
        Frame frame = Frame.parseFrom(in.nioBuffer(in.readerIndex(), length));
        in.skipBytes(length);
        if (frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET) {
            // A newer peer may send body types that are unknown here, which are ignored; an empty frame is never valid.
            if (frame.getUnknownFields().asMap().isEmpty()) {
                throw new CorruptedFrameException("frame of " + length + " bytes has no body");
            }
            return;
        }
        metrics.frameReceived(prefixBytes + length);
        out.add(frame);
    }
}
