package org.sageladder.protocol;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Records the sender of each message received over the links of a test. */
final class Inbox implements InnerLinks.Receiver {
  private static final long TIMEOUT_SECONDS = 60;

  private final BlockingQueue<String> senders = new LinkedBlockingQueue<>();

  @Override
  public void onMessage(String vm, InnerMessage message) {
    senders.add(vm);
  }

  @Override
  public void onLinkOpened(String vm) {}

  @Override
  public void onLinkLost(String vm) {}

  boolean isEmpty() {
    return senders.isEmpty();
  }

  /** Returns the sender of the next message, or {@code no message} if none arrives in time. */
  String nextSender() throws InterruptedException {
    String sender = senders.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return sender == null ? "no message" : sender;
  }
}
