package org.sageladder.core.spread;

import java.time.Duration;

/**
 * Exchanges small payloads of other components between the entry VMs of a customer.
 *
 * <pre>{@code
 * messages.setReceiver("share-transfer", (from, content) -> shares.receive(from, content));
 * messages.send("vm-7", "share-transfer", bytes);
 * messages.broadcast("quarantine", fingerprint, bytes, Duration.ofMinutes(10));
 * }</pre>
 *
 * <p>A payload may be lost, and a broadcast may arrive more than once. A component that needs
 * certainty must send its own acknowledgements and handle repeated payloads idempotently.
 */
public interface PeerMessages {
  /** Receives the payloads of one topic. Called from a control thread; must not block. */
  @FunctionalInterface
  interface Receiver {
    /**
     * Receives one payload.
     *
     * @param from the VM that sent it; empty for a broadcast, which any VM may have forwarded
     */
    void receive(String from, byte[] content);
  }

  /**
   * Sends to one entry VM, at most once.
   *
   * @param topic 1 to 64 characters
   * @param content at most 64 KiB
   * @return false if the payload was certainly not sent
   */
  boolean send(String vm, String topic, byte[] content);

  /**
   * Sends to all entry VMs, including those that start within {@code retention}.
   *
   * @param id identifies the broadcast within the topic; a later one with the same id replaces it
   */
  void broadcast(String topic, String id, byte[] content, Duration retention);

  /** Sets the receiver of {@code topic}, replacing an earlier one. */
  void setReceiver(String topic, Receiver receiver);

  /** Returns an implementation that sends nothing, for an entry VM without peers. */
  static PeerMessages none() {
    return new PeerMessages() {
      @Override
      public boolean send(String vm, String topic, byte[] content) {
        return false;
      }

      @Override
      public void broadcast(String topic, String id, byte[] content, Duration keep) {}

      @Override
      public void setReceiver(String topic, Receiver receiver) {}
    };
  }
}
