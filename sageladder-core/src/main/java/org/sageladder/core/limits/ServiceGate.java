package org.sageladder.core.limits;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.time.TimeSource;

/**
 * The gate of one service in one entry VM: counts the slots of the targets that this VM holds and
 * lets requests wait, bounded by number and time, where no slot is free.
 *
 * <pre>{@code
 * ServiceGate gate = ServiceGate.create(customer, service, time, Scheduler.of(executor), events);
 * gate.holdings(view.holdings().stream().filter(h -> h.holder().equals(self)).toList());
 * gate.request(new AdmissionRequest("r-17", deadlineNanos, "", ""), admission -> send(admission));
 * }</pre>
 *
 * <p>One lock guards everything; nothing is called while it is held, so it comes last in any lock
 * order. All methods may be called from any thread.
 */
public final class ServiceGate implements Gate, AutoCloseable {
  private final String customer;
  private final TimeSource time;
  private final Scheduler scheduler;
  private final EventSink events;

  private final Object lock = new Object();
  private Contract.Service service;
  private final Map<String, TargetSlots> targets = new HashMap<>();
  private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
  private boolean closed;
  private boolean wakeScheduled;
  private long offered;
  private long admitted;
  private long refused;
  private int busy;

  private ServiceGate(
      String customer,
      Contract.Service service,
      TimeSource time,
      Scheduler scheduler,
      EventSink events) {
    this.customer = customer;
    this.service = service;
    this.time = time;
    this.scheduler = scheduler;
    this.events = events;
  }

  /** A gate that holds no targets yet and so refuses all work. */
  public static ServiceGate create(
      String customer,
      Contract.Service service,
      TimeSource time,
      Scheduler scheduler,
      EventSink events) {
    return new ServiceGate(customer, service, time, scheduler, events);
  }

  /**
   * Replaces the targets that this VM holds.
   *
   * <p>Targets no longer named get no new work; slots in use stay valid until released.
   */
  public void holdings(List<Holding> holdings) {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      Set<String> named = new HashSet<>();
      for (Holding holding : holdings) {
        named.add(holding.target());
        hold(holding);
      }
      for (TargetSlots target : targets.values()) {
        if (!named.contains(target.holding().target())) {
          target.loseHold();
        }
      }
      targets.values().removeIf(t -> !named.contains(t.holding().target()) && t.inFlight() == 0);
      pump(decisions);
    }
    deliver(decisions);
  }

  private void hold(Holding holding) {
    TargetSlots known = targets.get(holding.target());
    if (known != null && known.holding().targetIncarnation() == holding.targetIncarnation()) {
      known.update(holding);
      return;
    }
    targets.put(holding.target(), new TargetSlots(holding));
  }

  /** Puts the limits of a new revision in force; waiting requests keep their places. */
  public void contract(Contract.Service newService) {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      service = newService;
      pump(decisions);
    }
    deliver(decisions);
  }

  /**
   * Takes a target's own, possibly late or wrong, report.
   *
   * @param nowNanos monotonic time at which the report was taken
   */
  public void targetLoad(
      String target, int reportedBusy, int reportedSlots, boolean draining, long nowNanos) {
    synchronized (lock) {
      TargetSlots known = targets.get(target);
      if (known != null && draining) {
        known.markLeaving();
      }
    }
  }

  @Override
  public Cancellable request(AdmissionRequest request, Consumer<Admission> whenDecided) {
    List<Decision> decisions = new ArrayList<>(1);
    Waiting waiting = new Waiting(request, whenDecided, giveUpAt(request));
    synchronized (lock) {
      offered++;
      arrive(waiting, decisions);
    }
    deliver(decisions);
    return () -> cancel(waiting);
  }

  private long giveUpAt(AdmissionRequest request) {
    long longest = time.nanos() + service().queueWait().toNanos();
    return longest - request.deadlineNanos() < 0 ? longest : request.deadlineNanos();
  }

  private void arrive(Waiting waiting, List<Decision> decisions) {
    if (closed) {
      refuse(waiting, ResultCode.STOPPING, "this entry VM is stopping", decisions);
      return;
    }
    if (hasNoTargetFor(waiting)) {
      refuse(waiting, ResultCode.NO_TARGET, "no target held here may take it", decisions);
      return;
    }
    TargetSlots free = queue.isEmpty() ? choose(waiting.request.avoidTarget()) : null;
    if (free != null) {
      admit(waiting, free, decisions);
      return;
    }
    if (queue.size() >= queueLimit()) {
      refuse(waiting, ResultCode.QUEUE_FULL, queue.size() + " requests wait already", decisions);
      return;
    }
    queue.add(waiting);
    scheduleWake();
  }

  private int queueLimit() {
    int held = 0;
    for (TargetSlots target : targets.values()) {
      if (target.takesWork()) {
        held++;
      }
    }
    return held * service.queuePerTarget();
  }

  /** The target with the largest free part of its slots; not {@code avoid} if another has any. */
  private @Nullable TargetSlots choose(String avoid) {
    TargetSlots best = null;
    for (TargetSlots target : targets.values()) {
      if (target.freeSlots() == 0 || target.holding().target().equals(avoid)) {
        continue;
      }
      if (best == null || freeFraction(target) > freeFraction(best)) {
        best = target;
      }
    }
    return best;
  }

  private static double freeFraction(TargetSlots target) {
    return (double) target.freeSlots() / target.usableSlots();
  }

  private boolean hasNoTargetFor(Waiting waiting) {
    String avoid = waiting.request.avoidTarget();
    for (TargetSlots target : targets.values()) {
      if (target.usableSlots() > 0 && !target.holding().target().equals(avoid)) {
        return false;
      }
    }
    return true;
  }

  private void admit(Waiting waiting, TargetSlots target, List<Decision> decisions) {
    target.take();
    busy++;
    admitted++;
    waiting.decided = true;
    decisions.add(new Decision(waiting, new Admission.Admitted(new HeldSlot(target))));
  }

  private void refuse(Waiting waiting, ResultCode code, String detail, List<Decision> decisions) {
    refused++;
    waiting.decided = true;
    Result.NotRun result = new Result.NotRun(code, retryAfter(code), detail);
    decisions.add(new Decision(waiting, new Admission.Refused(result)));
  }

  private Duration retryAfter(ResultCode code) {
    if (code == ResultCode.STOPPING) {
      return Duration.ofMillis(1);
    }
    double serviceMillis = service.meanServiceMillis();
    int slots = Math.max(1, usableSlots());
    return Duration.ofMillis(Math.max(10, (long) (serviceMillis * (queue.size() + 1) / slots)));
  }

  /** Ends waits that are over and hands free slots to the others, oldest first. */
  private void pump(List<Decision> decisions) {
    long now = time.nanos();
    Iterator<Waiting> oldestFirst = queue.iterator();
    while (oldestFirst.hasNext()) {
      Waiting waiting = oldestFirst.next();
      if (waiting.giveUpAt - now <= 0) {
        oldestFirst.remove();
        refuse(waiting, ResultCode.QUEUE_DEADLINE, "no slot came free in time", decisions);
        continue;
      }
      if (hasNoTargetFor(waiting)) {
        oldestFirst.remove();
        refuse(waiting, ResultCode.NO_TARGET, "no target may take the request", decisions);
        continue;
      }
      TargetSlots free = choose(waiting.request.avoidTarget());
      if (free != null) {
        oldestFirst.remove();
        admit(waiting, free, decisions);
      }
    }
    scheduleWake();
  }

  private void scheduleWake() {
    if (wakeScheduled || queue.isEmpty()) {
      return;
    }
    long earliest = Long.MAX_VALUE;
    long now = time.nanos();
    for (Waiting waiting : queue) {
      earliest = Math.min(earliest, waiting.giveUpAt - now);
    }
    wakeScheduled = true;
    scheduler.runAfter(Duration.ofNanos(Math.max(1_000_000, earliest)), this::wake);
  }

  private void wake() {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      wakeScheduled = false;
      pump(decisions);
    }
    deliver(decisions);
  }

  private boolean cancel(Waiting waiting) {
    synchronized (lock) {
      if (waiting.decided) {
        return false;
      }
      waiting.decided = true;
      queue.remove(waiting);
      return true;
    }
  }

  private void release(TargetSlots target, Admission.Completion completion) {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      target.giveBack();
      busy--;
      if (completion == Admission.Completion.LEAVING) {
        target.markLeaving();
      }
      forgetIfDone(target);
      pump(decisions);
    }
    deliver(decisions);
  }

  private void forgetIfDone(TargetSlots target) {
    boolean current = targets.get(target.holding().target()) == target;
    if (current && !target.isHeld() && target.inFlight() == 0) {
      targets.remove(target.holding().target());
    }
  }

  private void deliver(List<Decision> decisions) {
    for (Decision decision : decisions) {
      record(decision);
      decision.waiting.whenDecided.accept(decision.admission);
    }
  }

  private void record(Decision decision) {
    String request = decision.waiting.request.requestId();
    if (decision.admission instanceof Admission.Admitted yes) {
      events.record(EventKind.ADMITTED, request, customer, yes.slot().target().target(), 0, "");
    } else if (decision.admission instanceof Admission.Refused no) {
      String reason = no.result().code() + ": " + no.result().detail();
      events.record(EventKind.REFUSED, request, customer, service().name(), 0, reason);
    }
  }

  /** Limits in force. */
  public Contract.Service service() {
    synchronized (lock) {
      return service;
    }
  }

  /** Slots in use, those of targets no longer held included. */
  public int busy() {
    synchronized (lock) {
      return busy;
    }
  }

  /** Requests in flight on {@code target} through this gate. */
  public int busy(String target) {
    synchronized (lock) {
      TargetSlots known = targets.get(target);
      return known == null ? 0 : known.inFlight();
    }
  }

  /** Requests waiting. */
  public int queued() {
    synchronized (lock) {
      return queue.size();
    }
  }

  /** Slots that may be used now. */
  public int slots() {
    synchronized (lock) {
      return usableSlots();
    }
  }

  private int usableSlots() {
    int slots = 0;
    for (TargetSlots target : targets.values()) {
      slots += target.usableSlots();
    }
    return slots;
  }

  /** All numbers of one moment. */
  public GateNumbers numbers() {
    synchronized (lock) {
      double capacity = usableSlots() * 1000.0 / service.meanServiceMillis();
      return new GateNumbers(
          usableSlots(), busy, queue.size(), offered, admitted, refused, 0, capacity);
    }
  }

  /** Refuses all that wait and all that still come; slots in use stay valid. */
  @Override
  public void close() {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      closed = true;
      for (Waiting waiting : queue) {
        refuse(waiting, ResultCode.STOPPING, "this entry VM is stopping", decisions);
      }
      queue.clear();
    }
    deliver(decisions);
  }

  private static final class Waiting {
    private final AdmissionRequest request;
    private final Consumer<Admission> whenDecided;
    private final long giveUpAt;
    private boolean decided;

    Waiting(AdmissionRequest request, Consumer<Admission> whenDecided, long giveUpAt) {
      this.request = request;
      this.whenDecided = whenDecided;
      this.giveUpAt = giveUpAt;
    }
  }

  private record Decision(Waiting waiting, Admission admission) {}

  private final class HeldSlot implements Admission.Slot {
    private final TargetSlots owner;
    private final Holding target;
    private boolean released;

    HeldSlot(TargetSlots owner) {
      this.owner = owner;
      this.target = owner.holding();
    }

    @Override
    public Holding target() {
      return target;
    }

    @Override
    public void release(Admission.Completion completion) {
      synchronized (lock) {
        if (released) {
          return;
        }
        released = true;
      }
      ServiceGate.this.release(owner, completion);
    }
  }
}
