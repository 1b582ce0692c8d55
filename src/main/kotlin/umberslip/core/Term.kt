package umberslip.core

/** A leader's term. It increases with every election and is never reset. Workers receive it as the fencing token. */
@JvmInline
value class Term(
    val value: Long,
) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)

    /** The term of the next election. */
    fun next(): Term = Term(value + 1)

    companion object {
        /** The term of the first leader of a cluster. */
        val FIRST = Term(1)
    }
}
