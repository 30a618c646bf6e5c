package org.sageladder.platform.store;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmList;
import org.sageladder.core.store.StoreException;

/** The platform's list of VMs over HTTP and JSON; every failure is an outage. */
public final class HttpVmList implements VmList, AutoCloseable {
  private final JsonHttpClient client;

  private HttpVmList(JsonHttpClient client) {
    this.client = client;
  }

  /** A list at {@code base}, such as {@code http://127.0.0.1:4100}; nothing is sent yet. */
  public static HttpVmList connect(URI base, Duration timeout) {
    return new HttpVmList(JsonHttpClient.connect(base, timeout));
  }

  @Override
  public List<ListedVm> fetch() throws StoreException {
    JsonHttpClient.Response answer = client.read(StoreMessages.VMS, Duration.ZERO);
    if (answer.status() != 200) {
      throw new StoreException.Unavailable("the list of VMs: status " + answer.status(), null);
    }
    return answer.read(StoreMessages.Vms.class).vms();
  }

  @Override
  public void close() {
    client.close();
  }
}
