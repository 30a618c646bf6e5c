package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.time.VirtualTime;

/** Guards against pipelined requests that are never answered, however many arrive at once. */
class PipelineProperties {
  private static final int SMALL_STACK_BYTES = 256 << 10;
  private static final int MAX_PIPELINED_REQUESTS = 16;

  /** Long enough for all deadlines of the longest pipeline. */
  private static final int MAX_SECONDS = 40_000;

  private static final Pattern REQUEST_ID = Pattern.compile("(?i)\r\nId: (\\d+)\r\n");

  /** A network on which no connection is accepted or refused, so that requests wait. */
  private static final class SilentNetwork implements Transport {
    private final EmbeddedChannel channel;

    SilentNetwork(EmbeddedChannel channel) {
      this.channel = channel;
    }

    @Override
    public ChannelFuture connect(
        Loop loop, String host, int port, int connectTimeoutMillis, ChannelHandler handler) {
      return channel.newPromise();
    }

    @Override
    public ChannelFuture listen(Loop loop, String host, int port, ChannelHandler handler) {
      return channel.newPromise();
    }

    @Override
    public DatagramPort openDatagrams(
        Loop loop,
        String host,
        int port,
        DatagramPort.Receiver receiver,
        Consumer<Throwable> failed) {
      throw new UnsupportedOperationException();
    }
  }

  /**
   * A connection of a caller to a forwarder whose only target never accepts one, on virtual time.
   */
  private static final class VirtualCaller {
    private final EmbeddedChannel loopChannel = new EmbeddedChannel();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final VirtualTime time = VirtualTime.startingAt(0);
    private final Forwarder forwarder;

    VirtualCaller() {
      loopChannel.freezeTime();
      Loop loop =
          Loop.on(loopChannel.eventLoop(), time, new SilentNetwork(loopChannel), Runnable::run);
      forwarder = ForwardingFixture.newForwarder(loop, new Metrics());
      forwarder.applyRules(ForwardingFixture.rules(1));
      forwarder.updateTarget(
          new TargetFacts(
              new TargetIncarnation("t-1", 0), 0, "s", "127.0.0.1", 1, "z", "r", 2, false, 0));
      forwarder.updateEntries(List.of(new EntryVmLocation("e-1", "z", "r")));
      new CallerConnection(forwarder, false).install(channel.pipeline());
    }

    void send(String text) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    void passSecond() {
      time.advance(Duration.ofSeconds(1));
      loopChannel.advanceTimeBy(1, TimeUnit.SECONDS);
      loopChannel.runPendingTasks();
      channel.runPendingTasks();
    }

    List<Integer> takeAnsweredIds() {
      StringBuilder text = new StringBuilder();
      for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
        text.append(out.toString(StandardCharsets.ISO_8859_1));
        out.release();
      }
      List<Integer> ids = new ArrayList<>();
      Matcher matcher = REQUEST_ID.matcher(text);
      while (matcher.find()) {
        ids.add(Integer.parseInt(matcher.group(1)));
      }
      return ids;
    }
  }

  /** Requests of the hasty route time out at once, the others after a minute. */
  @Property(tries = 60, seed = "20261205")
  void allAreAnsweredInOrder(
      @ForAll @IntRange(min = 1, max = 2_000) int count,
      @ForAll @IntRange(min = 1, max = 300) int meanHasty,
      @ForAll long seed)
      throws Exception {
    FutureTask<Void> task =
        new FutureTask<>(
            () -> {
              play(count, meanHasty, new Random(seed));
              return null;
            });
    Thread thread = new Thread(null, task, "small stack", SMALL_STACK_BYTES);
    thread.start();
    task.get();
  }

  private static void play(int count, int meanHasty, Random random) {
    VirtualCaller caller = new VirtualCaller();
    StringBuilder text = new StringBuilder();
    List<Integer> expected = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String path = i > 0 && random.nextInt(meanHasty) > 0 ? "/hasty/" : "/safe/";
      text.append("GET ").append(path).append(" HTTP/1.1\r\nHost: h\r\nId: ");
      text.append(i).append("\r\n\r\n");
      expected.add(i);
    }
    caller.send(text.toString());
    assertTrue(caller.forwarder.inFlightCount() <= MAX_PIPELINED_REQUESTS);
    List<Integer> answered = new ArrayList<>();
    for (int second = 0; second < MAX_SECONDS && answered.size() < count; second++) {
      caller.passSecond();
      answered.addAll(caller.takeAnsweredIds());
      assertTrue(caller.forwarder.inFlightCount() <= MAX_PIPELINED_REQUESTS);
    }
    assertEquals(expected, answered);
  }
}
