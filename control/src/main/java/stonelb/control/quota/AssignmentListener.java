package stonelb.control.quota;

/** Receives the quota assignments for a proxy. */
public interface AssignmentListener {
    /** Called with a new assignment, which replaces any earlier one of its bucket. */
    void onAssignment(QuotaAssignment assignment);
}
