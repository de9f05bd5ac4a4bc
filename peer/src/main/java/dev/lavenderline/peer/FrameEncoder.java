package dev.lavenderline.peer;

import dev.lavenderline.proto.peer.Frame;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;

/** Encodes each frame with its length as a varint in front. */
final class FrameEncoder extends MessageToByteEncoder<Frame> {
    private final PeerMetrics metrics;

    FrameEncoder(PeerMetrics metrics) {
        super(Frame.class);
        this.metrics = metrics;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws IOException {
        int start = out.writerIndex();
        try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
            frame.writeDelimitedTo(stream);
        }
        metrics.frameSent(out.writerIndex() - start);
    }
}
