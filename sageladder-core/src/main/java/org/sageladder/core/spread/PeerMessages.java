package org.sageladder.core.spread;

import java.time.Duration;

/**
 * Carries small payloads of other parts between the entry VMs of a customer.
 *
 * <pre>{@code
 * messages.on("share-transfer", (from, content) -> shares.receive(from, content));
 * messages.send("vm-7", "share-transfer", bytes);
 * messages.announce("quarantine", fingerprint, bytes, Duration.ofMinutes(10));
 * }</pre>
 *
 * <p>A payload may be lost, and an announcement may arrive more than once: a part that must know
 * builds an acknowledgement of its own and makes receiving idempotent.
 */
public interface PeerMessages {
  /** Takes payloads of one topic; called from a control thread and must not block. */
  @FunctionalInterface
  interface Receiver {
    /**
     * Takes one payload.
     *
     * @param from the VM that sent it; empty for an announcement, which any VM may have handed on
     */
    void receive(String from, byte[] content);
  }

  /**
   * Sends to one entry VM, at most once.
   *
   * @param topic 1 to 64 characters
   * @param content at most 64 KiB
   * @return false where it was surely not sent
   */
  boolean send(String vm, String topic, byte[] content);

  /**
   * Tells all entry VMs, those that start within {@code keep} among them.
   *
   * @param id names what is announced within the topic; a later one with the same id replaces it
   */
  void broadcast(String topic, String id, byte[] content, Duration retention);

  /** Names who takes the payloads of {@code topic}; a later call replaces an earlier one. */
  void setReceiver(String topic, Receiver receiver);

  /** Messages that go nowhere, for an entry VM without peers. */
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
