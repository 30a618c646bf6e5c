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
 * One request on a target: takes it in, waits for a slot, works, answers.
 *
 * <p>Its own lock is taken before the slot table's; answers are sent without it. A connection that
 * ends at any point gives the slot or the place in the queue back.
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
  private @Nullable ScheduledFuture<?> alarm;
  private long incarnation;
  private boolean holdsSlot;
  private long produced;
  private long cutAt = Long.MAX_VALUE;
  private final Runnable startQueued = this::start;

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
      offer();
    }
  }

  @Override
  public void updateCapacity(CapacityChannel capacity) throws IOException {
    capacity.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer piece) {
    received().checksum().add(piece);
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    offer();
  }

  private synchronized WorkRequest received() {
    if (request == null) {
      throw new IllegalStateException("no request head yet");
    }
    return request;
  }

  private void offer() {
    WorkRequest work = received();
    SlotTable.Decision decision;
    synchronized (this) {
      incarnation = server.slots().incarnation();
      phase = Phase.WAITING;
      decision = server.slots().offer(startQueued, work.deadlineNanos());
      if (decision == SlotTable.Decision.QUEUED) {
        alarm = server.after(work.remainingNanos(), this::queueDeadline);
      }
    }
    if (decision == SlotTable.Decision.STARTED) {
      start();
    } else if (decision.isRefusal()) {
      refuse(decision.refusal());
    }
  }

  /** Runs with a slot in hand, on the thread that got it. */
  private void start() {
    WorkRequest work = received();
    synchronized (this) {
      cancelAlarm();
      holdsSlot = true;
      if (phase != Phase.WAITING) {
        releaseSlot();
        return;
      }
      phase = Phase.RUNNING;
    }
    server.started(work.key());
    if (work.crashes()) {
      server.crash();
      return;
    }
    long service = server.slots().serviceNanos();
    long allowed = work.remainingNanos();
    synchronized (this) {
      if (phase == Phase.RUNNING) {
        alarm =
            service <= allowed
                ? server.after(service, this::answer)
                : server.after(allowed, this::deadlinePassed);
      }
    }
  }

  private void queueDeadline() {
    if (server.slots().withdraw(startQueued)) {
      refuse("shedding");
    }
  }

  private void refuse(String reason) {
    server.refused();
    HttpResponse response = head(503);
    response.addHeader("Target-Refused", reason);
    send(response, null);
  }

  private void deadlinePassed() {
    send(head(504), null);
  }

  private void answer() {
    WorkRequest work = received();
    long from = work.answerFrom();
    long size = work.answerBytes();
    if (from > 0 && from >= size) {
      HttpResponse beyond = head(416);
      beyond.addHeader("Content-Range", "bytes */" + size);
      send(beyond, null);
      return;
    }
    HttpResponse response = head(from > 0 ? 206 : 200);
    response.addHeader("Request-Checksum", work.checksum().value());
    response.addHeader("ETag", work.entityTag());
    if (from > 0) {
      response.addHeader("Content-Range", "bytes " + from + "-" + (size - 1) + "/" + size);
    }
    synchronized (this) {
      produced = from;
      if (server.slots().cutsAnswer()) {
        cutAt = from + (size - from) / 2;
      }
    }
    long length = work.chunked() ? -1 : size - from;
    send(response, new BasicEntityDetails(length, ContentType.APPLICATION_OCTET_STREAM));
  }

  private HttpResponse head(int status) {
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
      cutConnection();
    }
  }

  @Override
  public int available() {
    return BUFFER_BYTES;
  }

  @Override
  public void produce(DataStreamChannel out) throws IOException {
    WorkRequest work = received();
    if (produced >= cutAt) {
      cutConnection();
      return;
    }
    long end = Math.min(work.answerBytes(), cutAt);
    while (produced < end) {
      if (!buffer.hasRemaining()) {
        refill(work, end);
      }
      int written = out.write(buffer);
      produced += written;
      if (written == 0) {
        return;
      }
    }
    if (produced == work.answerBytes()) {
      // The slot is free before the last byte goes: a gate that has the whole answer may send the
      // next request at once, which would otherwise be counted beyond the slots.
      finish();
      out.endStream();
      server.answered();
    }
  }

  private void refill(WorkRequest work, long end) {
    buffer.clear();
    buffer.limit((int) Math.min(BUFFER_BYTES, end - produced));
    AnswerPattern.fill(work.checksum().value(), produced, buffer);
    buffer.flip();
  }

  private void cutConnection() {
    SocketAddress from;
    synchronized (this) {
      from = peer;
    }
    if (from != null) {
      server.cut(from);
    }
    releaseResources();
  }

  @Override
  public void failed(Exception cause) {
    releaseResources();
  }

  /** Called when the exchange is over, also where the caller closed its connection midway. */
  @Override
  public void releaseResources() {
    boolean cancelled;
    synchronized (this) {
      cancelled = phase == Phase.WAITING || phase == Phase.RUNNING;
    }
    if (cancelled) {
      server.cancelled();
    }
    finish();
  }

  private synchronized void finish() {
    if (phase == Phase.WAITING) {
      server.slots().withdraw(startQueued);
    }
    phase = Phase.DONE;
    cancelAlarm();
    releaseSlot();
  }

  private void cancelAlarm() {
    if (alarm != null) {
      alarm.cancel(false);
      alarm = null;
    }
  }

  private synchronized void releaseSlot() {
    if (!holdsSlot) {
      return;
    }
    holdsSlot = false;
    Runnable next = server.slots().release(incarnation);
    if (next != null) {
      ScheduledFuture<?> unused = server.after(0, next);
    }
  }
}
