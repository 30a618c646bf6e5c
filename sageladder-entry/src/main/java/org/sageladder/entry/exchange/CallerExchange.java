package org.sageladder.entry.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and its single response.
 *
 * <p>{@link #respond} may be called from any thread; only the first call has an effect, so a late
 * response of an abandoned attempt never reaches the caller as well.
 */
public final class CallerExchange implements AsyncServerExchangeHandler {
  /**
   * Response header of an entry VM that is leaving: callers drop cached look-ups that name it, so
   * that its stop need not wait until they have expired.
   */
  public static final String LOOK_UP_AGAIN = "Sageladder-Look-Up-Again";

  /** Handles a request; runs on an I/O thread and must not block. */
  @FunctionalInterface
  public interface Handler {
    /** Called once, when the head of the request is complete. */
    void handle(CallerExchange exchange) throws IOException;
  }

  /** Bytes of a response that may wait for its caller. */
  private static final long MAX_RESPONSE_BYTES = 64 << 10;

  private final Handler handler;
  private final BodyPipe requestBody = BodyPipe.open();
  private final AtomicBoolean isResponseStarted = new AtomicBoolean();
  private final AtomicReference<@Nullable Runnable> endAction = new AtomicReference<>();
  private final AtomicBoolean isEnded = new AtomicBoolean();
  private volatile @Nullable HttpRequest request;
  private volatile @Nullable EntityDetails entity;
  private volatile @Nullable ResponseChannel channel;
  private volatile @Nullable HttpContext context;
  private volatile @Nullable BodyPipe responseBody;
  private final InFlightCounter inFlight;
  private final AtomicBoolean isCounted = new AtomicBoolean();
  private final ExchangeMemory memory;
  private final AtomicLong heldBytes = new AtomicLong();
  private volatile boolean isResponseComplete;

  private CallerExchange(Handler handler, InFlightCounter inFlight, ExchangeMemory memory) {
    this.handler = handler;
    this.inFlight = inFlight;
    this.memory = memory;
  }

  /** Creates an exchange that waits for its request. */
  public static CallerExchange create(Handler handler) {
    return create(handler, InFlightCounter.create());
  }

  /**
   * Creates an exchange that waits for its request and is counted in {@code inFlight} until its
   * end.
   */
  public static CallerExchange create(Handler handler, InFlightCounter inFlight) {
    return create(handler, inFlight, ExchangeMemory.ofHeap());
  }

  /** Creates an exchange that is also counted in {@code memory} until its end. */
  public static CallerExchange create(
      Handler handler, InFlightCounter inFlight, ExchangeMemory memory) {
    return new CallerExchange(handler, inFlight, memory);
  }

  /** The head of the request; available once {@link Handler#handle} is called. */
  public HttpRequest request() {
    HttpRequest current = request;
    if (current == null) {
      throw new IllegalStateException("the head of the request has not been read yet");
    }
    return current;
  }

  /** Length and type of the request body, or null if it has none. */
  public @Nullable EntityDetails entity() {
    return entity;
  }

  /** The request body, to be streamed to a target. */
  public BodyPipe requestBody() {
    return requestBody;
  }

  /**
   * Counts this exchange as a request for a target; a planned stop waits for a period without such
   * requests.
   */
  public void countRequest() {
    inFlight.countRequest();
  }

  /** True once a response was started. */
  public boolean isResponseStarted() {
    return isResponseStarted.get();
  }

  /**
   * Runs {@code action} once when the exchange ends, or at once if it has ended. An end before the
   * complete response means that the caller has disconnected.
   */
  public void onEnd(Runnable action) {
    endAction.set(action);
    if (isEnded.get()) {
      endExchange();
    }
  }

  /** Sends 100 Continue to a caller that expects it before it sends its body. */
  public void sendContinue() throws IOException {
    ResponseChannel currentChannel = channel;
    HttpContext currentContext = context;
    if (currentChannel == null
        || currentContext == null
        || !request().containsHeader(HttpHeaders.EXPECT)) {
      return;
    }
    try {
      currentChannel.sendInformation(new BasicHttpResponse(100), currentContext);
    } catch (HttpException e) {
      throw new IOException("cannot send 100 Continue", e);
    }
  }

  /**
   * Starts the response; false if one was started before or the caller has disconnected.
   *
   * @param details length and type of the body, or null if there is none
   */
  public boolean respond(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
    ResponseChannel currentChannel = channel;
    HttpContext currentContext = context;
    if (currentChannel == null
        || currentContext == null
        || !isResponseStarted.compareAndSet(false, true)) {
      return false;
    }
    responseBody = body;
    try {
      if (details == null) {
        isResponseComplete = true;
      } else {
        hold(Math.max(0, Math.min(details.getContentLength(), MAX_RESPONSE_BYTES)));
      }
      if (inFlight.isLeaving()) {
        // The caller must not send its next request on a connection that is about to be closed.
        response.setHeader(HttpHeaders.CONNECTION, "close");
        response.setHeader(LOOK_UP_AGAIN, "true");
      }
      currentChannel.sendResponse(response, details, currentContext);
      return true;
    } catch (IOException | HttpException e) {
      body.fail(e);
      endExchange();
      return false;
    }
  }

  @Override
  public void handleRequest(
      HttpRequest head,
      @Nullable EntityDetails entityDetails,
      ResponseChannel responseChannel,
      HttpContext httpContext)
      throws IOException {
    request = head;
    entity = entityDetails;
    channel = responseChannel;
    context = httpContext;
    isCounted.set(true);
    inFlight.begin();
    hold(ExchangeMemory.estimate(head, entityDetails));
    if (memory.isExhausted() && hasEarlierRequest(httpContext)) {
      throw new ConnectionClosedException("requests are pipelined while memory is short");
    }
    if (entityDetails == null) {
      requestBody.complete();
    }
    handler.handle(this);
  }

  /** True if an earlier request on the connection is not answered yet. */
  private static boolean hasEarlierRequest(HttpContext httpContext) {
    EndpointDetails details = HttpCoreContext.castOrCreate(httpContext).getEndpointDetails();
    return details != null && details.getRequestCount() - details.getResponseCount() > 1;
  }

  private void hold(long count) {
    heldBytes.addAndGet(count);
    memory.add(count);
    if (isEnded.get()) {
      releaseHeld();
    }
  }

  private void releaseHeld() {
    memory.add(-heldBytes.getAndSet(0));
  }

  @Override
  public void updateCapacity(CapacityChannel capacityChannel) throws IOException {
    requestBody.setSource(capacityChannel);
  }

  @Override
  public void consume(ByteBuffer bytes) throws IOException {
    requestBody.accept(bytes);
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    requestBody.complete();
  }

  @Override
  public int available() {
    BodyPipe body = responseBody;
    return body == null ? 0 : body.available();
  }

  @Override
  public void produce(DataStreamChannel dataChannel) throws IOException {
    BodyPipe body = responseBody;
    if (body != null) {
      body.produce(dataChannel);
    }
  }

  @Override
  public void failed(Exception cause) {
    requestBody.fail(cause);
    endExchange();
  }

  @Override
  public void releaseResources() {
    if (isEnded.compareAndSet(false, true) && !isResponseComplete) {
      requestBody.fail(new IOException("the caller's exchange ended"));
    }
    endExchange();
  }

  private void endExchange() {
    isEnded.set(true);
    releaseHeld();
    if (isCounted.getAndSet(false)) {
      inFlight.end();
    }
    Runnable action = endAction.getAndSet(null);
    if (action != null) {
      action.run();
    }
  }
}
