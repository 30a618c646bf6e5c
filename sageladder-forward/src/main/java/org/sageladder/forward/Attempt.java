package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.LoadReport;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.placing.TargetState;

/** One sending of a request to one target, until its answer is whole, lost or abandoned. */
final class Attempt implements TargetConnection.Listener {
  /**
   * A kept connection may be closing unseen. What may not be repeated is sent only on one that was
   * used just now, since a loss after sending could not be told from a run.
   */
  private static final long FRESH_ENOUGH_FOR_ONCE_MILLIS = 3_000;

  /** Clocks of two machines may differ by this much: the largest step that operators tell of. */
  private static final long CLOCKS_APART_MILLIS = 2_000;

  /** A target that could not be reached is left alone for this long, unless there is no other. */
  private static final long AVOID_MILLIS = 1_500;

  /**
   * Without any byte of an answer for this long, the way to the target is checked: longer than most
   * runs, and early enough for another target.
   */
  private static final long LEAST_UNTIL_CHECK_MILLIS = 1_000;

  /** And for this many times as long as was expected. */
  private static final double CHECK_AFTER_EXPECTED = 2;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final PlacementRequest order;
  private final Send send;
  private final long startedAt;
  private final long startedAtWall;
  private @Nullable TargetConnection connection;
  private boolean over;
  private boolean sent;
  private @Nullable HeldAnswer answer;
  private Loop.@Nullable Timer check;

  Attempt(Forwarder forwarder, Exchange exchange, PlacementRequest order, Send send) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.order = order;
    this.send = send;
    this.startedAt = forwarder.loop().now();
    this.startedAtWall = forwarder.loop().wallMillis();
  }

  TargetState target() {
    return send.target();
  }

  Send decision() {
    return send;
  }

  /** True once bytes of the request may have reached the target. */
  boolean isSent() {
    return sent;
  }

  long millis() {
    return forwarder.loop().now() - startedAt;
  }

  void start(boolean once) {
    forwarder.attempts().add(this);
    forwarder.placement().recordSent(send, startedAt);
    forwarder
        .connections()
        .with(
            target().facts(),
            once ? FRESH_ENOUGH_FOR_ONCE_MILLIS : Long.MAX_VALUE,
            this::connected,
            this::unreachable,
            millis -> forwarder.distances().recordConnect(target().facts().zone(), millis));
  }

  private void connected(TargetConnection ready) {
    if (over) {
      forwarder.connections().giveBack(target().facts().incarnation(), ready);
      return;
    }
    connection = ready;
    sent = true;
    ready.send(head(), exchange.requestId(), this);
    exchange.body().writeTo(ready);
    exchange.readOn();
    double late = CHECK_AFTER_EXPECTED * (send.expectedWaitMillis() + send.expectedRunMillis());
    long after = Math.max(LEAST_UNTIL_CHECK_MILLIS, (long) late);
    check = forwarder.loop().after(after, () -> checkPath(ready));
  }

  private void checkPath(TargetConnection used) {
    if (over || used.anyAnswerByte()) {
      return;
    }
    PathCheck.start(forwarder.loop(), target().facts(), () -> reached(used), () -> cutOff(used));
  }

  private void reached(TargetConnection used) {
    if (!over) {
      used.watch();
    }
  }

  private void cutOff(TargetConnection used) {
    if (over || used.anyAnswerByte()) {
      return;
    }
    target().avoidUntil(forwarder.loop().now() + AVOID_MILLIS);
    withdraw(used, "its target is cut off");
  }

  private void withdraw(TargetConnection used, String cause) {
    used.abandon();
    finish(true);
    dropAnswer();
    exchange.lost(this, cause);
  }

  private HttpRequest head() {
    HttpRequest from = exchange.head();
    HttpHeaders headers = PassedOn.of(from.headers());
    boolean chunked = HttpUtil.isTransferEncodingChunked(from);
    if (chunked) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    if (exchange.hidesKey()) {
      forwarder.dialect().identify(headers, exchange.workspaceName());
    }
    forwarder.dialect().address(headers, target().facts().id(), exchange.millisLeft());
    HttpRequest to =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), headers);
    HttpUtil.setTransferEncodingChunked(to, chunked);
    return to;
  }

  /** More of the request's body has come, or its end. */
  void moreBody() {
    TargetConnection known = connection;
    if (!over && known != null) {
      exchange.body().writeTo(known);
    }
  }

  /** False where the target does not take more of the body for now. */
  boolean takesBody() {
    TargetConnection known = connection;
    return known != null && known.isWritable();
  }

  /** Reads on, or lets the target wait. */
  void reading(boolean on) {
    TargetConnection known = connection;
    if (!over && known != null) {
      known.reading(on);
    }
  }

  private void unreachable(String cause) {
    if (over) {
      return;
    }
    finish(false);
    target().avoidUntil(forwarder.loop().now() + AVOID_MILLIS);
    exchange.notSent(this, cause);
  }

  /** Gives the attempt up; the target drops the request with the connection. */
  void abandon() {
    if (over) {
      return;
    }
    finish(true);
    TargetConnection known = connection;
    if (known != null) {
      known.abandon();
    }
    dropAnswer();
  }

  private void dropAnswer() {
    HeldAnswer held = answer;
    answer = null;
    if (held != null) {
      held.release();
    }
  }

  /** Takes the attempt out of its target's load and of those in flight. */
  private void leave() {
    over = true;
    Loop.Timer known = check;
    if (known != null) {
      known.cancel();
    }
    forwarder.attempts().remove(this);
    target().endRequest();
  }

  private void finish(boolean neutral) {
    leave();
    if (!neutral) {
      target().recordOutcome(false, forwarder.loop().now());
    }
  }

  @Override
  public void head(HttpResponse head) {
    answer = new HeldAnswer(head);
  }

  @Override
  public void bytes(ByteBuf bytes) {
    HeldAnswer held = answer;
    if (over || held == null) {
      bytes.release();
      return;
    }
    exchange.answerBytes(this, held, bytes);
  }

  @Override
  public void ended() {
    HeldAnswer held = answer;
    TargetConnection used = connection;
    if (over || held == null || used == null) {
      return;
    }
    answer = null;
    long now = forwarder.loop().now();
    LoadReport load = forwarder.dialect().load(held.headers());
    boolean notRun = forwarder.dialect().isNotRun(held.status(), held.headers());
    leave();
    if (load != null) {
      target().recordReport(load, now);
    }
    forwarder.connections().giveBack(target().facts().incarnation(), used);
    if (notRun) {
      refused(load, now);
      held.release();
      exchange.notRun(this, forwarder.dialect().isOtherTarget(held.status()));
      return;
    }
    if (!forwarder.dialect().isGenuine(held.status(), held.headers())) {
      target().recordOutcome(false, now);
      held.release();
      exchange.lost(this, "an answer that the target did not make");
      return;
    }
    if (held.status() < 500) {
      forwarder.placement().recordAnswer(order, send, (double) millis(), load, now);
    } else {
      target().recordOutcome(false, now);
    }
    exchange.whole(this, held);
  }

  private void refused(@Nullable LoadReport load, long now) {
    if (load == null) {
      int slots = target().facts().slots();
      target().recordReport(new LoadReport(slots, slots, slots), now);
      return;
    }
    // A target that refuses with slots free does so for another reason than its load.
    if (load.running() < load.slots()) {
      target().recordOutcome(false, now);
    }
  }

  /**
   * The target has started again under its id. What was sent to its former start is lost with that,
   * though its connection may stay open for seconds where the target ended behind a cut. An attempt
   * that began shortly before the new start, by clocks that may differ, may be with the new one.
   */
  void targetStartedAgain(TargetIncarnation later) {
    boolean former = target().facts().incarnation().isBefore(later);
    if (over || !former || startedAtWall >= later.startedAtMillis() - CLOCKS_APART_MILLIS) {
      return;
    }
    TargetConnection used = connection;
    if (used == null) {
      unreachable("its target started again");
      return;
    }
    withdraw(used, "its target started again");
  }

  @Override
  public void lost(String cause) {
    if (over) {
      return;
    }
    finish(false);
    dropAnswer();
    TargetConnection used = connection;
    if (used != null && !used.anyAnswerByte()) {
      forwarder.crashes().lost(target().facts(), exchange.fingerprint(), exchange.runsOnce());
    }
    exchange.lost(this, cause);
  }

  @Override
  public void writable() {
    exchange.readOn();
  }
}
