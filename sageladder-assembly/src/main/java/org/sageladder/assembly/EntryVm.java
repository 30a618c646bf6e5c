package org.sageladder.assembly;

/** An entry daemon in this process, of this build or of another one. */
public interface EntryVm extends AutoCloseable {
  /** Port on which callers are served. */
  int callersPort();

  /** Port on which the other entry VMs are heard. */
  int innerPort();

  /** Port on which operators are served. */
  int operatorsPort();

  /** True once a contract is in force and at least {@code members} entry VMs are seen. */
  boolean isServing(int members);

  /** Stops as planned and waits until nothing is in flight. */
  void stop() throws InterruptedException;

  /** Ends at once. */
  @Override
  void close();
}
