package dev.lavenderline.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.proto.peer.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Splits the byte stream at the varint lengths and parses the frames; refuses long frames before they are buffered. */
final class FrameDecoder extends ByteToMessageDecoder {
    // Three bytes of seven bits hold every length up to 1 MiB.
    private static final int MAX_LENGTH_BYTES = 3;

    private final PeerMetrics metrics;

    FrameDecoder(PeerMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws InvalidProtocolBufferException {
        int start = in.readerIndex();
        int length = 0;
        int lengthBytes = 0;
        while (true) {
            if (!in.isReadable()) {
                in.readerIndex(start);
                return;
            }
            byte next = in.readByte();
            length |= (next & 0x7f) << (7 * lengthBytes);
            lengthBytes++;
            if (next >= 0) {
                break;
            }
            if (lengthBytes == MAX_LENGTH_BYTES) {
                throw new TooLongFrameException("the length of a frame has more than " + MAX_LENGTH_BYTES + " bytes");
            }
        }
        if (length > PeerMesh.MAX_FRAME_BYTES) {
            throw new TooLongFrameException("frame of " + length + " bytes");
        }
        if (in.readableBytes() < length) {
            in.readerIndex(start);
            return;
        }
        Frame frame = Frame.parseFrom(in.nioBuffer(in.readerIndex(), length));
        in.skipBytes(length);
        if (frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET) {
            // A peer of a later version may send bodies that are unknown here, but never an empty frame.
            if (frame.getUnknownFields().asMap().isEmpty()) {
                throw new CorruptedFrameException("frame without a body");
            }
            return;
        }
        metrics.received(lengthBytes + length);
        out.add(frame);
    }
}
