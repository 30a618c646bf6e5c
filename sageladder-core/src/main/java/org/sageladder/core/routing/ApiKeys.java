package org.sageladder.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The API keys of one version of the configuration and the workspace that each belongs to.
 *
 * <pre>{@code
 * ApiKeys keys = ApiKeys.builder().add(workspace, List.of("k1", "k2")).build();
 * keys.workspaceOf("k1"); // the workspace, or empty if the key is unknown
 * }</pre>
 *
 * <p>Keys are secrets: neither {@link #toString} nor any error message of this class contains one.
 */
public final class ApiKeys {
  private static final ApiKeys NONE = new ApiKeys(Map.of(), Map.of());

  private final Map<String, Workspace> byName;
  private final Map<String, Workspace> byKey;

  private ApiKeys(Map<String, Workspace> byName, Map<String, Workspace> byKey) {
    this.byName = byName;
    this.byKey = byKey;
  }

  /** The keys of a configuration without workspaces: requests carry no key. */
  public static ApiKeys none() {
    return NONE;
  }

  /** Creates a builder for the workspaces of a configuration. */
  public static Builder builder() {
    return new Builder();
  }

  /** True if a request must carry a key, unless its route is anonymous. */
  public boolean areRequired() {
    return !byName.isEmpty();
  }

  /** The workspace that {@code key} belongs to, or empty if the key is unknown. */
  public Optional<Workspace> workspaceOf(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** The workspaces by name. */
  public Map<String, Workspace> workspaces() {
    return byName;
  }

  @Override
  public String toString() {
    return byKey.size() + " keys of " + byName.size() + " workspaces";
  }

  /** Builds {@link ApiKeys}; each workspace and key is checked when it is added. */
  public static final class Builder {
    private final Map<String, Workspace> byName = new LinkedHashMap<>();
    private final Map<String, Workspace> byKey = new HashMap<>();

    private Builder() {}

    /**
     * Adds a workspace and its keys.
     *
     * @throws IllegalArgumentException if the name is already used, or a key is empty or belongs to
     *     another workspace
     */
    public Builder add(Workspace workspace, List<String> keys) {
      if (byName.putIfAbsent(workspace.name(), workspace) != null) {
        throw new IllegalArgumentException("more than one workspace is named " + workspace.name());
      }
      for (String key : keys) {
        addKey(workspace, key);
      }
      return this;
    }

    private void addKey(Workspace workspace, String key) {
      if (key.isEmpty()) {
        throw new IllegalArgumentException("a key of workspace " + workspace.name() + " is empty");
      }
      Workspace owner = byKey.putIfAbsent(key, workspace);
      if (owner != null && !owner.equals(workspace)) {
        throw new IllegalArgumentException(
            "workspaces " + owner.name() + " and " + workspace.name() + " have the same key");
      }
    }

    /** Returns the keys added so far. */
    public ApiKeys build() {
      return new ApiKeys(Map.copyOf(byName), Map.copyOf(byKey));
    }
  }
}
