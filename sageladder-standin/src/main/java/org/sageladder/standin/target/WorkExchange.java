package org.sageladder.standin.target;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;
import org.sageladder.standin.http.ConnectionTable;

/**
 * One request on a target: receives it, waits for a slot, runs it and sends the answer.
 *
 * <p>Lock order: this exchange, then the slot table. Answers are sent without a lock. If the
 * connection closes at any point, the slot or the position in the queue is released.
 */
final class WorkExchange implements AsyncServerExchangeHandler {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final TargetServer server;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES).flip();
  private Phase phase = Phase.RECEIVING;
  private @Nullable WorkRequest request;
  private @Nullable ResponseChannel channel;
  private @Nullable HttpContext context;
  private @Nullable SocketAddress peer;
  private @Nullable ScheduledFuture<?> timer;
  private long incarnation;
  private boolean holdsSlot;
  private long producedBytes;
  private long truncateAtByte = Long.MAX_VALUE;
  private final Runnable startQueued = this::startWork;

  private WorkExchange(TargetServer server) {
    this.server = server;
  }

  static WorkExchange create(TargetServer server) {
    return new WorkExchange(server);
  }

  private enum Phase {
    RECEIVING,
    WAITING,
    RUNNING,
    ANSWERING,
    DONE
  }

  @Override
  public void handleRequest(
      HttpRequest head,
      @Nullable EntityDetails entity,
      ResponseChannel responseChannel,
      HttpContext httpContext) {
    synchronized (this) {
      request = WorkRequest.read(head, server.options().answerBytes());
      channel = responseChannel;
      context = httpContext;
      peer = ConnectionTable.peer(httpContext);
    }
    if (entity == null) {
      requestSlot();
    }
  }

  @Override
  public void updateCapacity(CapacityChannel capacity) throws IOException {
    capacity.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer piece) {
    requireRequest().checksum().add(piece);
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    requestSlot();
  }

  private synchronized WorkRequest requireRequest() {
    if (request == null) {
      throw new IllegalStateException("no request head yet");
    }
    return request;
  }

  private void requestSlot() {
    WorkRequest work = requireRequest();
    SlotTable.Decision decision;
    synchronized (this) {
      incarnation = server.slots().incarnation();
      phase = Phase.WAITING;
      decision = server.slots().offer(startQueued, work.deadlineNanos());
      if (decision == SlotTable.Decision.QUEUED) {
        timer = server.scheduleAfter(work.remainingNanos(), this::onQueueDeadline);
      }
    }
    if (decision == SlotTable.Decision.STARTED) {
      startWork();
    } else if (decision.isRefusal()) {
      refuse(decision.refusal());
    }
  }

  /** Runs the work once it holds a slot, on the thread that obtained the slot. */
  private void startWork() {
    WorkRequest work = requireRequest();
    synchronized (this) {
      cancelTimer();
      holdsSlot = true;
      if (phase != Phase.WAITING) {
        releaseSlot();
        return;
      }
      phase = Phase.RUNNING;
    }
    server.recordStart(work.key());
    if (work.crashesTarget()) {
      server.crash();
      return;
    }
    long serviceNanos = server.slots().drawServiceNanos();
    long remainingNanos = work.remainingNanos();
    synchronized (this) {
      if (phase == Phase.RUNNING) {
        timer =
            serviceNanos <= remainingNanos
                ? server.scheduleAfter(serviceNanos, this::answer)
                : server.scheduleAfter(remainingNanos, this::onDeadline);
      }
    }
  }

  private void onQueueDeadline() {
    if (server.slots().removeQueued(startQueued)) {
      refuse("shedding");
    }
  }

  private void refuse(String reason) {
    server.recordRefusal();
    HttpResponse response = responseHead(503);
    response.addHeader("Target-Refused", reason);
    send(response, null);
  }

  private void onDeadline() {
    send(responseHead(504), null);
  }

  private void answer() {
    WorkRequest work = requireRequest();
    long from = work.answerFrom();
    long size = work.answerBytes();
    if (from > 0 && from >= size) {
      HttpResponse unsatisfiable = responseHead(416);
      unsatisfiable.addHeader("Content-Range", "bytes */" + size);
      send(unsatisfiable, null);
      return;
    }
    HttpResponse response = responseHead(from > 0 ? 206 : 200);
    response.addHeader("Request-Checksum", work.checksum().value());
    response.addHeader("ETag", work.entityTag());
    if (from > 0) {
      response.addHeader("Content-Range", "bytes " + from + "-" + (size - 1) + "/" + size);
    }
    synchronized (this) {
      producedBytes = from;
      if (server.slots().drawTruncation()) {
        truncateAtByte = from + (size - from) / 2;
      }
    }
    long length = work.isChunked() ? -1 : size - from;
    send(response, new BasicEntityDetails(length, ContentType.APPLICATION_OCTET_STREAM));
  }

  private HttpResponse responseHead(int status) {
    HttpResponse response = new BasicHttpResponse(status);
    response.addHeader("Target-Id", server.options().id());
    response.addHeader("Target-Incarnation", incarnation);
    return response;
  }

  private void send(HttpResponse response, @Nullable EntityDetails entity) {
    ResponseChannel out;
    synchronized (this) {
      if (phase == Phase.DONE || channel == null) {
        return;
      }
      phase = Phase.ANSWERING;
      out = channel;
      if (entity == null) {
        finish();
      }
    }
    try {
      out.sendResponse(response, entity, context);
    } catch (HttpException | IOException e) {
      closeConnection();
    }
  }

  @Override
  public int available() {
    return BUFFER_BYTES;
  }

  @Override
  public void produce(DataStreamChannel out) throws IOException {
    WorkRequest work = requireRequest();
    if (producedBytes >= truncateAtByte) {
      closeConnection();
      return;
    }
    long end = Math.min(work.answerBytes(), truncateAtByte);
    while (producedBytes < end) {
      if (!buffer.hasRemaining()) {
        refill(work, end);
      }
      int written = out.write(buffer);
      producedBytes += written;
      if (written == 0) {
        return;
      }
    }
    if (producedBytes == work.answerBytes()) {
      // Releases the slot before the end of the answer is sent: an entry VM that has received the
      // complete answer may send the next request immediately, which would otherwise exceed the
      // slots.
      finish();
      out.endStream();
      server.recordAnswer();
    }
  }

  private void refill(WorkRequest work, long end) {
    buffer.clear();
    buffer.limit((int) Math.min(BUFFER_BYTES, end - producedBytes));
    AnswerPattern.fill(work.checksum().value(), producedBytes, buffer);
    buffer.flip();
  }

  private void closeConnection() {
    SocketAddress from;
    synchronized (this) {
      from = peer;
    }
    if (from != null) {
      server.closeConnection(from);
    }
    releaseResources();
  }

  @Override
  public void failed(Exception cause) {
    releaseResources();
  }

  /** Called when the exchange ends, including when the caller closes its connection early. */
  @Override
  public void releaseResources() {
    boolean cancelled;
    synchronized (this) {
      cancelled = phase == Phase.WAITING || phase == Phase.RUNNING;
    }
    if (cancelled) {
      server.recordCancellation();
    }
    finish();
  }

  private synchronized void finish() {
    if (phase == Phase.WAITING) {
      server.slots().removeQueued(startQueued);
    }
    phase = Phase.DONE;
    cancelTimer();
    releaseSlot();
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  private synchronized void releaseSlot() {
    if (!holdsSlot) {
      return;
    }
    holdsSlot = false;
    Runnable next = server.slots().release(incarnation);
    if (next != null) {
      ScheduledFuture<?> unused = server.scheduleAfter(0, next);
    }
  }
}
