package io.masticfold.gateway.http;

import io.masticfold.core.time.TimeSource;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Carries exchanges over a connection to a server, one at a time. Used on its event loop only. */
final class ServerConnection extends ChannelInboundHandlerAdapter implements Exchange {

    /** Maximum number of interim (1xx) responses before a response. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /** Round trips after a send by which a server that had closed its idle connection must have been heard. */
    private static final int ROUND_TRIPS_UNTIL_STALE_CLOSE = 2;

    private final HttpClient owner;
    private final InetSocketAddress address;
    private final TimeSource time;
    private final ReadThrottle throttle;
    private final long connectNanos;
    private final ResponseSyntax syntax = new ResponseSyntax();
    private final UndecodedBytes undecoded;
    private final DeliveredIdentities delivered = new DeliveredIdentities();
    private long roundTripNanos;
    private long sentNanos;
    private @Nullable Channel channel;
    private @Nullable ExchangeListener listener;
    private @Nullable FullHttpRequest unsent;
    private int exchanges;
    private int interimResponses;
    private int undecodedInTurn;
    private boolean responseBegun;
    private boolean headSeen;
    private boolean closeAfterResponse;
    private boolean endsWithConnection;
    private boolean hasRequestBody;
    private boolean requestWritten;
    private boolean awaitingReset;
    private boolean sent;
    private boolean cancelled;

    ServerConnection(HttpClient owner, InetSocketAddress address, TimeSource time) {
        this.owner = owner;
        this.address = address;
        this.time = time;
        this.throttle = new ReadThrottle(owner.readShares(), address, false, ProcessorTime::ofCurrentThread);
        this.undecoded = new UndecodedBytes(owner.responseMemory());
        this.connectNanos = time.nanoTime();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Sets the first exchange, which is sent once the connection is open. */
    void prepare(FullHttpRequest request, ExchangeListener firstListener) {
        unsent = request;
        listener = firstListener;
    }

    /** Starts an exchange on the open connection. */
    void exchange(FullHttpRequest request, ExchangeListener nextListener) {
        listener = nextListener;
        responseBegun = false;
        headSeen = false;
        interimResponses = 0;
        closeAfterResponse = false;
        sent = true;
        sentNanos = time.nanoTime();
        exchanges++;
        syntax.begin(request.method());
        endsWithConnection = false;
        hasRequestBody = request.content().isReadable();
        requestWritten = false;
        Channel open = channel;
        if (open == null) {
            throw new IllegalStateException("connection to " + address + " is not open");
        }
        open.writeAndFlush(request).addListener(written -> {
            if (listener != nextListener) {
                return;
            }
            if (written.isSuccess()) {
                requestWritten = true;
            } else {
                // The close that follows looks like the end of a response without a length.
                fail(closedByServer(), "the request could not be written: " + written.cause());
                close();
            }
        });
    }

    void connectFailed(String detail) {
        releaseUnsent();
        fail(ExchangeFailure.NOT_SENT, detail);
    }

    @Override
    public boolean cancel() {
        cancelled = true;
        detachListener();
        releaseUnsent();
        Channel open = channel;
        if (open != null) {
            open.close();
        }
        return sent;
    }

    @Override
    public void setAutoRead(boolean enabled) {
        if (listener != null) {
            throttle.setCallerReady(enabled);
        }
    }

    @Override
    public boolean recordDelivered(Collection<String> identities) {
        boolean allNew = delivered.add(identities);
        if (delivered.full()) {
            close();
        }
        return allNew;
    }

    boolean idle() {
        return listener == null;
    }

    void close() {
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    /**
     * Called for all bytes that the server has sent, before they are decoded.
     *
     * @return whether they may be decoded
     */
    boolean bytesReceived(ByteBuf bytes) {
        throttle.bytesReceived();
        if (listener == null) {
            // Bytes between two responses may be the first ones of a response that the decoder cannot report yet.
            close();
        }
        responseBegun = true;
        String problem = syntax.problem(bytes);
        if (problem != null) {
            fail(ExchangeFailure.BROKEN, "malformed response: " + problem);
            close();
            return false;
        }
        undecodedInTurn += bytes.readableBytes();
        return true;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        roundTripNanos = time.nanoTime() - connectNanos;
        if (cancelled) {
            context.close();
            return;
        }
        FullHttpRequest first = unsent;
        ExchangeListener firstListener = listener;
        unsent = null;
        if (first != null && firstListener != null) {
            exchange(first, firstListener);
            throttle.opened(context.channel());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                // Unexpected data after the end of a response.
                context.close();
                return;
            }
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                decodingFailed(object.decoderResult().cause());
                context.close();
                return;
            }
            read(context, message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext _context) {
        ExchangeListener receiver = listener;
        if (receiver != null && headSeen) {
            receiver.readComplete();
        }
        int bytes = undecodedInTurn;
        undecodedInTurn = 0;
        if (listener != null && !(headSeen ? undecoded.addToBody(bytes) : undecoded.addToHead(bytes))) {
            failWithoutMemory();
        }
        throttle.turnEnded();
    }

    private void failWithoutMemory() {
        fail(ExchangeFailure.BROKEN, "no memory for the response");
        close();
    }

    private void decodingFailed(Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            fail(closedByServer(), "connection closed by the server within the head of the response");
        } else {
            fail(ExchangeFailure.BROKEN, "malformed response: " + cause);
        }
    }

    private void read(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            head(response);
        }
        ExchangeListener receiver = listener;
        if (receiver != null && message instanceof HttpContent content && headSeen) {
            if (content.content().isReadable()) {
                undecodedInTurn = 0;
                undecoded.bodyDecoded();
                receiver.content(content.content());
            }
            if (message instanceof LastHttpContent && listener == receiver) {
                end(context, receiver);
            }
        }
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                fail(ExchangeFailure.BROKEN, "more than " + MAX_INTERIM_RESPONSES + " interim responses");
                close();
            }
            return;
        }
        if (MergedHeads.detectedIn(response)) {
            fail(ExchangeFailure.BROKEN, "the head of the response contains a second status line");
            close();
            return;
        }
        headSeen = true;
        if (!undecoded.headDecoded(response)) {
            failWithoutMemory();
            return;
        }
        undecodedInTurn = Math.max(0, undecodedInTurn - undecoded.headBytes());
        boolean framed = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || HttpUtil.isTransferEncodingChunked(response);
        endsWithConnection = !framed;
        closeAfterResponse = !HttpUtil.isKeepAlive(response) || !framed;
        ExchangeListener receiver = listener;
        if (receiver != null) {
            receiver.head(response, exchanges == 1);
        }
    }

    private void end(ChannelHandlerContext context, ExchangeListener receiver) {
        if (endsWithConnection && hasRequestBody) {
            endWithConnection(context, receiver);
        } else {
            complete(context, receiver);
        }
    }

    /** Ends a response that has no length: its end looks like that of a connection that is closed too early. */
    private void endWithConnection(ChannelHandlerContext context, ExchangeListener receiver) {
        if (!requestWritten || !context.channel().isActive()) {
            failUnread(context);
            return;
        }
        awaitingReset = true;
        ResetProbe.start(context, roundTripNanos, open -> {
            if (listener != receiver) {
                return;
            }
            if (open) {
                complete(context, receiver);
            } else {
                failUnread(context);
            }
        });
    }

    private void failUnread(ChannelHandlerContext context) {
        fail(closedByServer(), "connection closed by the server before it had read the whole request");
        context.close();
    }

    private void complete(ChannelHandlerContext context, ExchangeListener receiver) {
        detachListener();
        throttle.setCallerReady(true);
        if (closeAfterResponse) {
            context.close();
        } else {
            // Deferred, so that unexpected data read together with the response is handled before the connection is
            // reused.
            context.executor().execute(() -> returnIfIdle(context));
        }
        receiver.end();
    }

    private void returnIfIdle(ChannelHandlerContext context) {
        if (listener == null && context.channel().isActive()) {
            owner.returnIdle(this);
        }
    }

    /** The server has ended its output; the decoder has reported the end of a response that ends so. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !awaitingReset) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        owner.removeIdle(this);
        fail(closedByServer(), "connection closed by the server");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset is a SocketException; a time-out of the connection is another IOException.
        ExchangeFailure failure = cause instanceof SocketException ? closedByServer() : ExchangeFailure.BROKEN;
        fail(sent ? failure : ExchangeFailure.NOT_SENT, "connection failed: " + cause);
        context.close();
    }

    private ExchangeFailure closedByServer() {
        if (!sent) {
            return ExchangeFailure.NOT_SENT;
        }
        boolean possiblyIdle =
                exchanges > 1 && time.nanoTime() - sentNanos <= ROUND_TRIPS_UNTIL_STALE_CLOSE * roundTripNanos;
        return responseBegun || !possiblyIdle ? ExchangeFailure.CLOSED : ExchangeFailure.STALE;
    }

    private void fail(ExchangeFailure failure, String detail) {
        ExchangeListener receiver = listener;
        detachListener();
        if (receiver != null) {
            receiver.failed(failure, detail);
        }
    }

    private void detachListener() {
        listener = null;
        undecoded.release();
    }

    private void releaseUnsent() {
        FullHttpRequest request = unsent;
        unsent = null;
        if (request != null) {
            request.release();
        }
    }
}
