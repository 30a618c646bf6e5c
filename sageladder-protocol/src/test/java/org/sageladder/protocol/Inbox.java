package org.sageladder.protocol;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Keeps who sent each message that came in over links. */
final class Inbox implements InnerLinks.Receiver {
  private static final long HANG_SECONDS = 60;

  private final BlockingQueue<String> senders = new LinkedBlockingQueue<>();

  @Override
  public void received(String vm, InnerMessage message) {
    senders.add(vm);
  }

  @Override
  public void opened(String vm) {}

  @Override
  public void lost(String vm) {}

  boolean isEmpty() {
    return senders.isEmpty();
  }

  /** Sender of the next message; {@code nobody} where none comes. */
  String next() throws InterruptedException {
    String sender = senders.poll(HANG_SECONDS, TimeUnit.SECONDS);
    return sender == null ? "nobody" : sender;
  }
}
