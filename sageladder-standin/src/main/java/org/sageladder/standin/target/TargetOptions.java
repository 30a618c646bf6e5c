package org.sageladder.standin.target;

import java.util.function.Consumer;

/**
 * How a target stand-in is built; what goes wrong later is said with {@link TargetFaults}.
 *
 * <pre>{@code
 * TargetOptions options = TargetOptions.create("t-1").slots(3).serviceTime(ServiceTime.fixed(20));
 * }</pre>
 *
 * @param id name sent with each answer
 * @param host IP number to listen on
 * @param port TCP port, 0 for any free one
 * @param slots requests that run at the same time
 * @param queue requests that may wait for a slot; more are shed
 * @param serviceTime time a request holds its slot
 * @param seed seed of all draws
 * @param answerBytes size of an answer's body where the request names none
 * @param startMillis how long after a start every request is refused as {@code starting}
 * @param coldMillis how long after that the target is slower, falling evenly to its usual speed
 * @param coldFactor service time at the start of the cold phase over the usual one, at least 1
 * @param crashMillis how long a crash keeps the port closed; negative: a crash ends the process
 * @param incarnation number of the first start; each restart adds one
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

  /** Rejects values out of range. */
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

  /** Three slots, a queue of three, 20 ms fixed, 1 KiB answers, any free port on loopback. */
  public static TargetOptions create(String id) {
    return new TargetOptions(
        id, "127.0.0.1", 0, 3, 3, ServiceTime.fixed(20), 1, 1024, 0, 0, 1, 500, 1);
  }

  /** The same options listening elsewhere. */
  public TargetOptions listenAddress(String newHost, int newPort) {
    return with(
        copy -> {
          copy.host = newHost;
          copy.port = newPort;
        });
  }

  /** The same options with so many slots. */
  public TargetOptions slots(int newSlots) {
    return with(copy -> copy.slots = newSlots);
  }

  /** The same options with a queue of that length. */
  public TargetOptions queue(int newQueue) {
    return with(copy -> copy.queue = newQueue);
  }

  /** The same options with another service time. */
  public TargetOptions serviceTime(ServiceTime newServiceTime) {
    return with(copy -> copy.serviceTime = newServiceTime);
  }

  /** The same options with another seed. */
  public TargetOptions seed(long newSeed) {
    return with(copy -> copy.seed = newSeed);
  }

  /** The same options with answers of that size. */
  public TargetOptions answerBytes(long newAnswerBytes) {
    return with(copy -> copy.answerBytes = newAnswerBytes);
  }

  /** The same options with a start that refuses first and is slow next. */
  public TargetOptions coldStart(long newStartMillis, long newColdMillis, double newColdFactor) {
    return with(
        copy -> {
          copy.startMillis = newStartMillis;
          copy.coldMillis = newColdMillis;
          copy.coldFactor = newColdFactor;
        });
  }

  /** The same options with that pause after a crash; negative: a crash ends the process. */
  public TargetOptions crashMillis(long newCrashMillis) {
    return with(copy -> copy.crashMillis = newCrashMillis);
  }

  /** The same options with that first incarnation. */
  public TargetOptions incarnation(long newIncarnation) {
    return with(copy -> copy.incarnation = newIncarnation);
  }

  private TargetOptions with(Consumer<Copy> edit) {
    Copy copy = new Copy(this);
    edit.accept(copy);
    return copy.options();
  }

  /** The fields while some of them change, so that no method above has to list them all. */
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
