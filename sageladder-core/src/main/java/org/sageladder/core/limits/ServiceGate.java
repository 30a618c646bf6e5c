package org.sageladder.core.limits;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
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
 * order but for the retry budget's, which is taken inside it. All methods may be called from any
 * thread.
 */
public final class ServiceGate implements Gate, AutoCloseable {
  /**
   * What a refused request counts as demand: its caller goes on to the other two places of its
   * region that its answer names, and would be counted three times.
   */
  private static final double REFUSED_PART = 1.0 / 3;

  private static final String TAKEN_OVER =
      "another entry VM held the targets a moment ago, and may have used their gain";

  private static final double REFUSED_FRACTION = 0.1;
  private static final double SECOND = Duration.ofSeconds(1).toNanos();
  private static final long SHORTEST_HINT_NANOS = Duration.ofMillis(10).toNanos();
  private static final long SHORTEST_WAKE_NANOS = Duration.ofMillis(1).toNanos();

  private final String customer;
  private final TimeSource time;
  private final Scheduler scheduler;
  private final EventSink events;
  private final WaitBudget budget;

  private final RetryBudget retries;

  private final Object lock = new Object();
  private final TargetPool pool;
  private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
  private boolean closed;
  private boolean wakeScheduled;
  private final SmoothedRate offeredRate;
  private long offered;
  private long admitted;
  private long refused;

  private ServiceGate(
      String customer,
      Contract.Service service,
      TimeSource time,
      Scheduler scheduler,
      EventSink events,
      WaitBudget budget) {
    this.customer = customer;
    this.pool = new TargetPool(service, time.nanos());
    this.time = time;
    this.scheduler = scheduler;
    this.events = events;
    this.budget = budget;
    this.retries = RetryBudget.of(retryFraction(service));
    this.offeredRate = new SmoothedRate(time.nanos());
  }

  /**
   * Work that must not repeat is sent on only where a target refused it before running; such
   * retries are bounded by a tenth, whatever the contract says of repeats.
   */
  private static double retryFraction(Contract.Service service) {
    return service.repeatable() ? service.retryFraction() : REFUSED_FRACTION;
  }

  @Override
  public boolean takeRetry() {
    return retries.takeRetry();
  }

  /** First tries, retries and denied retries of this service here. */
  public RetryBudget.Numbers retryNumbers() {
    return retries.numbers();
  }

  /** A gate that holds no targets yet and so refuses all work. */
  public static ServiceGate create(
      String customer,
      Contract.Service service,
      TimeSource time,
      Scheduler scheduler,
      EventSink events) {
    return create(customer, service, time, scheduler, events, WaitBudget.of(Integer.MAX_VALUE));
  }

  /** As above, with a bound on the requests that wait at all gates of this entry VM together. */
  public static ServiceGate create(
      String customer,
      Contract.Service service,
      TimeSource time,
      Scheduler scheduler,
      EventSink events,
      WaitBudget budget) {
    return new ServiceGate(customer, service, time, scheduler, events, budget);
  }

  /**
   * Replaces the targets that this VM holds; none counts as taken over from another entry VM.
   *
   * <p>Targets no longer named get no new work; slots in use stay valid until released.
   */
  public void holdings(List<Holding> holdings) {
    holdings(holdings, Set.of());
  }

  /**
   * Replaces the targets that this VM holds.
   *
   * @param takenOver names of those that another entry VM, or an earlier incarnation of this one,
   *     held until now; they get work one window later, or once {@link #learn} tells of them
   */
  public void holdings(List<Holding> holdings, Set<String> takenOver) {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      pool.hold(holdings, takenOver, time.nanos());
      pump(decisions);
    }
    deliver(decisions);
  }

  /**
   * What this gate counted of a target that {@link #holdings} took from it, to be sent to the entry
   * VM that holds it now; empty where there is nothing to tell or it has been told.
   */
  public Optional<TargetHistory> handOver(String target) {
    synchronized (lock) {
      return Optional.ofNullable(pool.handOver(target, time.nanos(), time.wallMillis()));
    }
  }

  /**
   * Takes what the entry VM that held a target before counted of it; repeats have no effect.
   *
   * @return true where the target is held here and waited for it
   */
  public boolean learn(TargetHistory history) {
    List<Decision> decisions = new ArrayList<>();
    boolean taken;
    synchronized (lock) {
      taken = pool.learn(history, time.nanos(), time.wallMillis());
      pump(decisions);
    }
    deliver(decisions);
    return taken;
  }

  /** Puts the limits of a new revision in force; waiting requests keep their places. */
  public void contract(Contract.Service newService) {
    List<Decision> decisions = new ArrayList<>();
    retries.fraction(retryFraction(newService));
    synchronized (lock) {
      pool.service(newService, time.nanos());
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
      TargetSlots known = pool.target(target);
      if (known == null) {
        return;
      }
      known.report(reportedBusy, reportedSlots, nowNanos);
      if (draining) {
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
    if (pool.workFromNanos(time.nanos()) - waiting.giveUpAt >= 0) {
      refuse(waiting, ResultCode.SHIFT_CAP, TAKEN_OVER, decisions);
      return;
    }
    TargetPool.Choice choice = pool.choose(waiting.request.avoidTarget(), time.nanos());
    if (queue.isEmpty() && choice.target() != null) {
      admit(waiting, choice.target(), decisions);
      return;
    }
    if (queue.size() >= pool.heldTargets() * pool.service().queuePerTarget()) {
      String detail = queue.size() + " requests wait already";
      refuse(
          waiting,
          choice.capped() ? ResultCode.SHIFT_CAP : ResultCode.QUEUE_FULL,
          detail,
          decisions);
      return;
    }
    if (!budget.take(pool.service().requestClass())) {
      refuse(waiting, shedCode(), budget.waiting() + " requests wait on this entry VM", decisions);
      return;
    }
    waiting.capped = choice.capped();
    queue.add(waiting);
    scheduleWake();
  }

  private ResultCode shedCode() {
    boolean background = pool.service().requestClass() == RequestClass.BACKGROUND;
    return background ? ResultCode.BACKGROUND_SHED : ResultCode.QUEUE_FULL;
  }

  private boolean hasNoTargetFor(Waiting waiting) {
    return !pool.hasTargetBesides(waiting.request.avoidTarget());
  }

  private void admit(Waiting waiting, TargetSlots target, List<Decision> decisions) {
    pool.take(target);
    admitted++;
    offeredRate.add(1, time.nanos());
    if (waiting.request.avoidTarget().isEmpty()) {
      retries.firstTry();
    }
    waiting.decided = true;
    decisions.add(new Decision(waiting, new Admission.Admitted(new HeldSlot(target))));
  }

  private void refuse(Waiting waiting, ResultCode code, String detail, List<Decision> decisions) {
    refused++;
    offeredRate.add(REFUSED_PART, time.nanos());
    waiting.decided = true;
    Result.NotRun result = new Result.NotRun(code, retryAfter(code), detail);
    decisions.add(new Decision(waiting, new Admission.Refused(result)));
  }

  private Duration retryAfter(ResultCode code) {
    if (code == ResultCode.STOPPING) {
      return Duration.ofMillis(1);
    }
    return comeBack(code == ResultCode.SHIFT_CAP);
  }

  @Override
  public Duration comeBack() {
    synchronized (lock) {
      return comeBack(false);
    }
  }

  /**
   * When one more request would find a slot: after those that wait, and not before a cap, a pause
   * or the wait for a taken-over target ends.
   */
  private Duration comeBack(boolean capped) {
    long now = time.nanos();
    double perSecond = pool.ceilingPerSecond(now);
    long wait = perSecond > 0 ? (long) (SECOND * (queue.size() + 1) / perSecond) : 0;
    if (capped) {
      wait = Math.max(wait, pool.capGivesWayNanos(now) - now);
    } else if (pool.usableSlots(now) == 0) {
      wait = Math.max(wait, pool.nextChangeNanos(now) - now);
    }
    return Duration.ofNanos(Math.max(SHORTEST_HINT_NANOS, wait));
  }

  /**
   * Ends waits that are over and hands free slots to the others, oldest first.
   *
   * <p>Once no target takes a request that may go to any, none takes those behind it: each slot
   * that comes free would otherwise cost a look at all targets for each request that waits.
   */
  private void pump(List<Decision> decisions) {
    long now = time.nanos();
    TargetPool.Choice none = null;
    Iterator<Waiting> oldestFirst = queue.iterator();
    while (oldestFirst.hasNext()) {
      Waiting waiting = oldestFirst.next();
      if (waiting.giveUpAt - now <= 0) {
        leaveQueue(oldestFirst);
        ResultCode code = waiting.capped ? ResultCode.SHIFT_CAP : ResultCode.QUEUE_DEADLINE;
        refuse(waiting, code, "no slot came free in time", decisions);
        continue;
      }
      if (hasNoTargetFor(waiting)) {
        leaveQueue(oldestFirst);
        refuse(waiting, ResultCode.NO_TARGET, "no target held here may take it", decisions);
        continue;
      }
      String avoid = waiting.request.avoidTarget();
      TargetPool.Choice choice = none == null ? pool.choose(avoid, now) : none;
      waiting.capped = choice.capped();
      if (choice.target() != null) {
        leaveQueue(oldestFirst);
        admit(waiting, choice.target(), decisions);
      } else if (avoid.isEmpty()) {
        none = choice;
      }
    }
    scheduleWake();
  }

  private void leaveQueue(Iterator<Waiting> position) {
    position.remove();
    budget.giveBack();
  }

  /** Sees to it that waits end in time and that a cap or pause that gives way is noticed. */
  private void scheduleWake() {
    if (wakeScheduled || queue.isEmpty()) {
      return;
    }
    long now = time.nanos();
    long earliest = pool.nextChangeNanos(now) - now;
    for (Waiting waiting : queue) {
      earliest = Math.min(earliest, waiting.giveUpAt - now);
    }
    wakeScheduled = true;
    scheduler.runAfter(Duration.ofNanos(Math.max(SHORTEST_WAKE_NANOS, earliest)), this::wake);
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
      if (queue.remove(waiting)) {
        budget.giveBack();
      }
      return true;
    }
  }

  private void release(TargetSlots target, Admission.Completion completion) {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      pool.giveBack(target, completion, time.nanos());
      pump(decisions);
    }
    deliver(decisions);
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
      return pool.service();
    }
  }

  /** Slots in use, those of targets no longer held included. */
  public int busy() {
    synchronized (lock) {
      return pool.busy();
    }
  }

  /** Requests in flight on {@code target} through this gate. */
  public int busy(String target) {
    synchronized (lock) {
      TargetSlots known = pool.target(target);
      return known == null ? 0 : known.inFlight();
    }
  }

  /** Requests waiting. */
  public int queued() {
    synchronized (lock) {
      return queue.size();
    }
  }

  /** The targets held here that are not leaving. */
  public List<Holding> heldTargets() {
    synchronized (lock) {
      return pool.held();
    }
  }

  /** True while this gate holds a target that is not leaving, paused or not. */
  public boolean holdsTargets() {
    synchronized (lock) {
      return pool.heldTargets() > 0;
    }
  }

  /** Slots that may be used now. */
  public int slots() {
    synchronized (lock) {
      return pool.usableSlots(time.nanos());
    }
  }

  /** All numbers of one moment. */
  public GateNumbers numbers() {
    synchronized (lock) {
      long now = time.nanos();
      return new GateNumbers(
          pool.usableSlots(now),
          pool.busy(),
          queue.size(),
          offered,
          admitted,
          refused,
          offeredRate.perSecond(now),
          pool.admittedPerSecond(now),
          pool.ceilingPerSecond(now));
    }
  }

  /** Refuses all that wait and all that still come; slots in use stay valid. */
  @Override
  public void close() {
    List<Decision> decisions = new ArrayList<>();
    synchronized (lock) {
      closed = true;
      for (Waiting waiting : queue) {
        budget.giveBack();
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
    private boolean capped;
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
