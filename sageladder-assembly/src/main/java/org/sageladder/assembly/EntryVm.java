package org.sageladder.assembly;

/** An entry daemon in this process, of this build or of another one. */
public interface EntryVm extends AutoCloseable {
  /** Port for callers. */
  int callersPort();

  /** Port for messages from other entry VMs. */
  int innerPort();

  /** Port for operators. */
  int operatorsPort();

  /**
   * Returns true once a contract is in force and at least {@code members} entry VMs are visible.
   */
  boolean isServing(int members);

  /** Stops gracefully and waits until no request is in flight. */
  void stop() throws InterruptedException;

  /** Stops immediately. */
  @Override
  void close();
}
