package org.sageladder.entry.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
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
import org.jspecify.annotations.Nullable;

/**
 * One request of one caller and the single answer it gets.
 *
 * <p>{@link #answer} may be called from any thread; only the first call has an effect, so that a
 * late answer of an abandoned try never reaches the caller as well.
 */
public final class CallerExchange implements AsyncServerExchangeHandler {
  /**
   * Header of answers of an entry VM that is leaving: kept look-ups that name it are to be dropped,
   * so that its stop need not wait until they have expired.
   */
  public static final String LOOK_UP_AGAIN = "Sageladder-Look-Up-Again";

  /** Decides what becomes of a request; runs on an I/O thread and must not block. */
  @FunctionalInterface
  public interface Handler {
    /** Called once, when the head of the request is complete. */
    void begin(CallerExchange exchange) throws IOException;
  }

  private final Handler handler;
  private final BodyPipe requestBody = BodyPipe.open();
  private final AtomicBoolean answered = new AtomicBoolean();
  private final AtomicReference<@Nullable Runnable> onGone = new AtomicReference<>();
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile @Nullable HttpRequest request;
  private volatile @Nullable EntityDetails entity;
  private volatile @Nullable ResponseChannel channel;
  private volatile @Nullable HttpContext context;
  private volatile @Nullable BodyPipe answerBody;
  private final InFlight inFlight;
  private final AtomicBoolean counted = new AtomicBoolean();
  private volatile boolean answerWhole;

  private CallerExchange(Handler handler, InFlight inFlight) {
    this.handler = handler;
    this.inFlight = inFlight;
  }

  /** An exchange that waits for its request. */
  public static CallerExchange create(Handler handler) {
    return create(handler, InFlight.create());
  }

  /** An exchange that waits for its request and is counted in {@code inFlight} until its end. */
  public static CallerExchange create(Handler handler, InFlight inFlight) {
    return new CallerExchange(handler, inFlight);
  }

  /** The head of the request; only after {@link Handler#begin} was called. */
  public HttpRequest request() {
    HttpRequest known = request;
    if (known == null) {
      throw new IllegalStateException("the head of the request has not been read yet");
    }
    return known;
  }

  /** What is known of the request's body, or null where it has none. */
  public @Nullable EntityDetails entity() {
    return entity;
  }

  /** The request's body, to be carried to a target. */
  public BodyPipe requestBody() {
    return requestBody;
  }

  /**
   * Counts this exchange as a request for a target, which a planned stop waits to see no more of.
   */
  public void countRequest() {
    inFlight.request();
  }

  /** True once an answer was begun. */
  public boolean isAnswered() {
    return answered.get();
  }

  /** Runs {@code action} once if the caller's connection ends before the whole answer was sent. */
  public void onGone(Runnable action) {
    onGone.set(action);
    if (ended.get()) {
      gone();
    }
  }

  /** Tells a caller that waits for leave to send its body to go on. */
  public void acceptBody() throws IOException {
    ResponseChannel to = channel;
    HttpContext in = context;
    if (to == null || in == null || !request().containsHeader(HttpHeaders.EXPECT)) {
      return;
    }
    try {
      to.sendInformation(new BasicHttpResponse(100), in);
    } catch (HttpException e) {
      throw new IOException("cannot ask for the body", e);
    }
  }

  /**
   * Begins the answer; false where one was begun before or the caller has gone.
   *
   * @param details length and type of the body, or null where there is none
   */
  public boolean answer(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
    ResponseChannel to = channel;
    HttpContext in = context;
    if (to == null || in == null || !answered.compareAndSet(false, true)) {
      return false;
    }
    answerBody = body;
    try {
      if (details == null) {
        answerWhole = true;
      }
      if (inFlight.isLeaving()) {
        // The caller must not send its next request on a connection that is about to be closed.
        response.setHeader(HttpHeaders.CONNECTION, "close");
        response.setHeader(LOOK_UP_AGAIN, "true");
      }
      to.sendResponse(response, details, in);
      return true;
    } catch (IOException | HttpException e) {
      body.fail(e);
      gone();
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
    counted.set(true);
    inFlight.begin();
    if (entityDetails == null) {
      requestBody.end();
    }
    handler.begin(this);
  }

  @Override
  public void updateCapacity(CapacityChannel capacityChannel) throws IOException {
    requestBody.source(capacityChannel);
  }

  @Override
  public void consume(ByteBuffer bytes) throws IOException {
    requestBody.accept(bytes);
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    requestBody.end();
  }

  @Override
  public int available() {
    BodyPipe body = answerBody;
    return body == null ? 0 : body.available();
  }

  @Override
  public void produce(DataStreamChannel dataChannel) throws IOException {
    BodyPipe body = answerBody;
    if (body != null) {
      body.produce(dataChannel);
    }
  }

  @Override
  public void failed(Exception cause) {
    requestBody.fail(cause);
    gone();
  }

  @Override
  public void releaseResources() {
    if (ended.compareAndSet(false, true) && !answerWhole) {
      requestBody.fail(new IOException("the caller's exchange ended"));
    }
    gone();
  }

  private void gone() {
    ended.set(true);
    if (counted.getAndSet(false)) {
      inFlight.end();
    }
    Runnable action = onGone.getAndSet(null);
    if (action != null) {
      action.run();
    }
  }
}
