package umberslip.settings

import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The keys of the platform's settings file. */
internal object SettingsKey {
    const val MEMBER = "member"
    const val AREA = "area"
    const val BIND = "bind"
    const val PEER_LISTEN = "peer_listen"
    const val KNOWN = "known"
    const val ADDRESS = "addr"
    const val ENDPOINTS = "endpoints"
    const val SETTINGS = "settings"

    const val NODES = "nodes"
    const val ZONES = "zones"
    const val TEAMS = "teams"
    const val OBJECTIVES = "objectives"
    const val WORKERS = "workers"
    const val STORE = "state"
    const val CLOUD = "cloud"
    const val QUOTA = "quota"
    const val SOCKETS = "sockets"
    const val SKEW_MILLIS = "skew_ms"

    const val HEARTBEAT_INTERVAL_SECONDS = "report_s"
    const val LEASE_SECONDS = "lease_s"
    const val GANG_WAIT_SECONDS = "gang_wait_s"
    const val GANG_PEER_SECONDS = "gang_peer_s"
    const val CANCEL_SECONDS = "cancel_s"

    // Where two settings are in the file, for messages about both.
    const val LEASE_PATH = "$SETTINGS.$WORKERS.$LEASE_SECONDS"
    const val CANCEL_PATH = "$SETTINGS.$WORKERS.$CANCEL_SECONDS"

    const val RPS = "rps"
    const val WRITE_RPS = "write_rps"
    const val VALUE_KB = "value_kb"
    const val TRANSACTION_OPS = "txn_ops"
    const val NEXT = "next"
    const val LIST_LAG_SECONDS = "list_lag_s"

    const val NAME = "name"
    const val CPUS = "cpus"
    const val GPUS = "gpus"
    const val CPUS_MAX = "cpus_max"
    const val GPUS_MAX = "gpus_max"

    const val KIND = "kind"
    const val JOB_CLASS = "class"
    const val WITHIN_SECONDS = "within_s"
    const val TIMES = "times"
    const val KIND_FINISHED = "finished"
    const val KIND_DEADLINE = "deadline"
    const val KIND_STARTED = "wait"
    const val KIND_GUARANTEE = "guarantee"
}

/** Reads and validates the platform's settings file. Unknown settings are ignored: the platform may add some. */
internal object SettingsParser {
    /** With fewer sockets, a controller's own connections would leave too few to users and workers. */
    private const val MIN_SOCKETS = 40

    /** With fewer puts and deletes, what has to be written together would not fit into a transaction. */
    private const val MIN_TRANSACTION_OPS = 4
    private const val BYTES_PER_KB = 1024

    fun parse(json: String): Settings =
        try {
            settings(Fields.of(Documents.readJson(json)))
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException(e.message ?: "malformed settings")
        }

    private fun settings(file: Fields): Settings {
        val settings = file.map(SettingsKey.SETTINGS)
        val workers = settings.map(SettingsKey.WORKERS)
        val store = settings.map(SettingsKey.STORE)
        val cloud = settings.map(SettingsKey.CLOUD)
        val teams = teams(settings)
        return Settings(
            member = member(file),
            zone = file.text(SettingsKey.AREA),
            bind = address(file, SettingsKey.BIND),
            peerListen = address(file, SettingsKey.PEER_LISTEN),
            peers = file.maps(SettingsKey.KNOWN).map(::peer),
            cloudAddress = address(file.map(SettingsKey.ENDPOINTS), SettingsKey.CLOUD),
            storeAddress = address(file.map(SettingsKey.ENDPOINTS), SettingsKey.STORE),
            controllerCount = positive(settings, SettingsKey.NODES).toInt(),
            zones = zones(settings),
            teams = teams,
            objectives = settings.mapsOrEmpty(SettingsKey.OBJECTIVES).mapNotNull(::objective),
            workers = workers(workers),
            storeLimits = storeLimits(store),
            cloudRps = positive(cloud, SettingsKey.RPS),
            listLag = seconds(cloud, SettingsKey.LIST_LAG_SECONDS),
            sockets = sockets(settings.map(SettingsKey.QUOTA)),
            skew = (settings.numberOrNull(SettingsKey.SKEW_MILLIS) ?: 0.0).milliseconds,
        )
    }

    private fun member(file: Fields): String {
        val member = file.text(SettingsKey.MEMBER)
        if (member.isEmpty()) throw InvalidSettingsException("${SettingsKey.MEMBER} is empty")
        return member
    }

    private fun peer(fields: Fields) =
        Peer(
            member = fields.text(SettingsKey.MEMBER),
            zone = fields.text(SettingsKey.AREA),
            address = address(fields, SettingsKey.ADDRESS),
        )

    private fun zones(settings: Fields): List<String> =
        settings.textsOrNull(SettingsKey.ZONES)
            ?: throw InvalidSettingsException("${settings.path(SettingsKey.ZONES)} is missing")

    private fun teams(settings: Fields): List<TeamSettings> {
        val teams = settings.maps(SettingsKey.TEAMS).map(::team)
        val path = settings.path(SettingsKey.TEAMS)
        if (teams.isEmpty()) throw InvalidSettingsException("$path is empty")
        val names = teams.mapTo(HashSet()) { it.name }
        if (names.size != teams.size) throw InvalidSettingsException("$path names a team twice")
        return teams
    }

    private fun team(fields: Fields) =
        TeamSettings(
            name = fields.text(SettingsKey.NAME),
            cpus = notNegative(fields, SettingsKey.CPUS),
            gpus = notNegative(fields, SettingsKey.GPUS),
            cpusMax = notNegative(fields, SettingsKey.CPUS_MAX).takeIf { it > 0 },
            gpusMax = notNegative(fields, SettingsKey.GPUS_MAX).takeIf { it > 0 },
        )

    /** Null for kinds that this version does not know. */
    private fun objective(fields: Fields): Objective? =
        when (fields.textOrNull(SettingsKey.KIND)) {
            SettingsKey.KIND_FINISHED -> {
                Objective.Finished(fields.text(SettingsKey.JOB_CLASS), seconds(fields, SettingsKey.WITHIN_SECONDS))
            }
            SettingsKey.KIND_DEADLINE -> {
                Objective.Deadline(fields.text(SettingsKey.JOB_CLASS), fields.numberOrNull(SettingsKey.TIMES) ?: 1.0)
            }
            SettingsKey.KIND_STARTED -> {
                Objective.Started(fields.text(SettingsKey.JOB_CLASS), seconds(fields, SettingsKey.WITHIN_SECONDS))
            }
            SettingsKey.KIND_GUARANTEE -> Objective.Guarantee(seconds(fields, SettingsKey.WITHIN_SECONDS))
            else -> null
        }

    private fun workers(fields: Fields) =
        WorkerSettings(
            heartbeatInterval = seconds(fields, SettingsKey.HEARTBEAT_INTERVAL_SECONDS),
            lease = seconds(fields, SettingsKey.LEASE_SECONDS),
            assemblyTimeout = seconds(fields, SettingsKey.GANG_WAIT_SECONDS),
            gangPeer = seconds(fields, SettingsKey.GANG_PEER_SECONDS),
            cancel = seconds(fields, SettingsKey.CANCEL_SECONDS),
        )

    private fun storeLimits(now: Fields): StoreSettings {
        val next = if (now.has(SettingsKey.NEXT)) now.map(SettingsKey.NEXT) else null
        return StoreSettings(
            rps = positive(now, SettingsKey.RPS),
            writeRps = positive(now, SettingsKey.WRITE_RPS),
            valueBytes = (lower(now, next, SettingsKey.VALUE_KB) * BYTES_PER_KB).toInt(),
            transactionOps = transactionOps(now, next),
            nextRps = lower(now, next, SettingsKey.RPS),
            nextWriteRps = lower(now, next, SettingsKey.WRITE_RPS),
            blockBytes = (positive(now, SettingsKey.VALUE_KB) * BYTES_PER_KB).toInt(),
        )
    }

    private fun transactionOps(
        now: Fields,
        next: Fields?,
    ): Int {
        val ops = lower(now, next, SettingsKey.TRANSACTION_OPS).toInt()
        if (ops < MIN_TRANSACTION_OPS) {
            throw InvalidSettingsException("${now.path(SettingsKey.TRANSACTION_OPS)} is below $MIN_TRANSACTION_OPS")
        }
        return ops
    }

    /** The lower of the limit in force and the announced one, if there is one. */
    private fun lower(
        now: Fields,
        next: Fields?,
        name: String,
    ): Double {
        val limit = positive(now, name)
        if (next == null || !next.has(name)) return limit
        return minOf(limit, positive(next, name))
    }

    private fun sockets(quota: Fields): Int {
        val sockets = positive(quota, SettingsKey.SOCKETS).toInt()
        if (sockets < MIN_SOCKETS) {
            throw InvalidSettingsException("${quota.path(SettingsKey.SOCKETS)} is below $MIN_SOCKETS")
        }
        return sockets
    }

    private fun seconds(
        fields: Fields,
        name: String,
    ): Duration = positive(fields, name).seconds

    private fun positive(
        fields: Fields,
        name: String,
    ): Double {
        val number = fields.number(name)
        if (number <= 0) throw InvalidSettingsException("${fields.path(name)} must be above 0")
        return number
    }

    private fun notNegative(
        fields: Fields,
        name: String,
    ): Double {
        val number = fields.numberOrNull(name) ?: 0.0
        if (number < 0) throw InvalidSettingsException("${fields.path(name)} must not be below 0")
        return number
    }

    private fun address(
        fields: Fields,
        name: String,
    ): InetSocketAddress =
        try {
            Settings.address(fields.text(name))
        } catch (e: InvalidSettingsException) {
            throw InvalidSettingsException("${fields.path(name)}: ${e.message}")
        }
}
