package org.sageladder.core.placing;

/** What a target is to an object, as far as an entry VM can tell. */
public enum Standing {
  /** This VM has had the object run there lately. */
  REMEMBERED,
  /** The first choice of all for the object, on which all entry VMs agree. */
  HOME,
  /** The first choice of its region, but not of all. */
  REGION_HOME,
  /** The second choice of its region. */
  SECOND,
  /** Any other, or the request concerns no object. */
  NONE
}
