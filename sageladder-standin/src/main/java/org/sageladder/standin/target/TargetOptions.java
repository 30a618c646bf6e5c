package org.sageladder.standin.target;

import java.util.function.Consumer;

/**
 * Configuration of a target stand-in. Faults at run time are set with {@link TargetFaults}.
 *
 * <pre>{@code
 * TargetOptions options = TargetOptions.create("t-1").slots(3).serviceTime(ServiceTime.fixed(20));
 * }</pre>
 *
 * @param id id sent with each answer
 * @param host IP address to listen on
 * @param port TCP port, 0 for a free one
 * @param slots number of requests that run at the same time
 * @param queue number of requests that may wait for a slot; further ones are shed
 * @param serviceTime distribution of the time that a request holds its slot
 * @param seed seed of the random generator
 * @param answerBytes size of an answer's body if the request does not state one
 * @param startMillis time after a start during which requests are refused as {@code starting}
 * @param coldMillis duration of the cold phase after that, in which the service time falls linearly
 *     to its normal value
 * @param coldFactor factor on the service time at the start of the cold phase, at least 1
 * @param crashMillis time that the port stays closed after a crash; if negative, a crash ends the
 *     process
 * @param incarnation number of the first incarnation; each restart adds one
 */
public record TargetOptions(
    String id,
    String host,
    int port,
    int slots,
    int queue,
    ServiceTime serviceTime,
    long seed,
    long answerBytes,
    long startMillis,
    long coldMillis,
    double coldFactor,
    long crashMillis,
    long incarnation) {

  /** Validates the ranges. */
  public TargetOptions {
    if (slots < 1 || queue < 0 || answerBytes < 0 || startMillis < 0 || coldMillis < 0) {
      throw new IllegalArgumentException(
          "target " + id + ": expected at least 1 slot and no negative queue, size or time");
    }
    if (!(coldFactor >= 1)) {
      throw new IllegalArgumentException(
          "target " + id + ": coldFactor " + coldFactor + ": expected at least 1");
    }
  }

  /**
   * Returns the defaults: three slots, a queue of three, a fixed service time of 20 ms, answers of
   * 1 KiB and a free port on loopback.
   */
  public static TargetOptions create(String id) {
    return new TargetOptions(
        id, "127.0.0.1", 0, 3, 3, ServiceTime.fixed(20), 1, 1024, 0, 0, 1, 500, 1);
  }

  /** Returns a copy with another address to listen on. */
  public TargetOptions listenAddress(String newHost, int newPort) {
    return with(
        copy -> {
          copy.host = newHost;
          copy.port = newPort;
        });
  }

  /** Returns a copy with another number of slots. */
  public TargetOptions slots(int newSlots) {
    return with(copy -> copy.slots = newSlots);
  }

  /** Returns a copy with another maximum queue length. */
  public TargetOptions queue(int newQueue) {
    return with(copy -> copy.queue = newQueue);
  }

  /** Returns a copy with another service time. */
  public TargetOptions serviceTime(ServiceTime newServiceTime) {
    return with(copy -> copy.serviceTime = newServiceTime);
  }

  /** Returns a copy with another seed. */
  public TargetOptions seed(long newSeed) {
    return with(copy -> copy.seed = newSeed);
  }

  /** Returns a copy with another size of answers. */
  public TargetOptions answerBytes(long newAnswerBytes) {
    return with(copy -> copy.answerBytes = newAnswerBytes);
  }

  /** Returns a copy with a starting phase that refuses requests and a cold phase after it. */
  public TargetOptions coldStart(long newStartMillis, long newColdMillis, double newColdFactor) {
    return with(
        copy -> {
          copy.startMillis = newStartMillis;
          copy.coldMillis = newColdMillis;
          copy.coldFactor = newColdFactor;
        });
  }

  /** Returns a copy with another restart delay; if negative, a crash ends the process. */
  public TargetOptions crashMillis(long newCrashMillis) {
    return with(copy -> copy.crashMillis = newCrashMillis);
  }

  /** Returns a copy with another first incarnation. */
  public TargetOptions incarnation(long newIncarnation) {
    return with(copy -> copy.incarnation = newIncarnation);
  }

  private TargetOptions with(Consumer<Copy> edit) {
    Copy copy = new Copy(this);
    edit.accept(copy);
    return copy.options();
  }

  /** Mutable copy, so that each method above only names the fields that it changes. */
  private static final class Copy {
    private final String id;
    private String host;
    private int port;
    private int slots;
    private int queue;
    private ServiceTime serviceTime;
    private long seed;
    private long answerBytes;
    private long startMillis;
    private long coldMillis;
    private double coldFactor;
    private long crashMillis;
    private long incarnation;

    Copy(TargetOptions from) {
      id = from.id;
      host = from.host;
      port = from.port;
      slots = from.slots;
      queue = from.queue;
      serviceTime = from.serviceTime;
      seed = from.seed;
      answerBytes = from.answerBytes;
      startMillis = from.startMillis;
      coldMillis = from.coldMillis;
      coldFactor = from.coldFactor;
      crashMillis = from.crashMillis;
      incarnation = from.incarnation;
    }

    TargetOptions options() {
      return new TargetOptions(
          id,
          host,
          port,
          slots,
          queue,
          serviceTime,
          seed,
          answerBytes,
          startMillis,
          coldMillis,
          coldFactor,
          crashMillis,
          incarnation);
    }
  }
}
